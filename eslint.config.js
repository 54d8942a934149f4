import {readFileSync} from 'node:fs';
import gts from 'gts';
import {defineConfig} from 'eslint/config';

const layers = JSON.parse(
  readFileSync(new URL('./layers.json', import.meta.url), 'utf8'),
);
const packageNames = Object.keys(layers);

/** Restricts each package's imports to the packages listed in layers.json. */
function layerRules() {
  return packageNames.map(name => {
    const forbiddenPackages = packageNames.filter(
      otherName => otherName !== name && !layers[name].includes(otherName),
    );
    return {
      files: [`packages/${name}/src/**/*.ts`],
      rules: {
        'no-restricted-imports': [
          'error',
          {
            patterns: [
              {
                group: forbiddenPackages.flatMap(otherName => [
                  `@skylarkfield/${otherName}`,
                  `@skylarkfield/${otherName}/*`,
                ]),
                message: `layers.json does not allow ${name} to import this package.`,
              },
            ],
          },
        ],
      },
    };
  });
}

/**
 * Patterns of the platform's headers and paths (case-insensitive) and of its
 * fields (case-sensitive).
 */
const PLATFORM_NAME_PATTERNS = [
  '/^(x-(try-id|reply-seal|duty-holder|fence-token|expect-replica|prompt-prefix|token-counts|deadline-ms|replica-|kv-)|kv-(from|fetch)|.*skylarkfield\\/(resolve|readyz|objects|report|kv-))/i',
  '/^(PathPrefix|ApiKeys|KvTokens|CurrentRev|MorePages)$/',
];

/**
 * Figurative words of earlier releases; docs/GLOSSARY.md has the terms that
 * replace them. Fields on the wire, like `news` and `paces`, keep their names.
 */
const REPLACED_WORDS = [
  'journey',
  'standing',
  'clump',
  'belief',
  'patience',
  'pace',
  'favour',
];

/** Forbids replaced words as an identifier, at its start or inside of it. */
function replacedWordSelector() {
  const words = REPLACED_WORDS.filter(word => word !== 'pace');
  const capitalized = words.map(word => word[0].toUpperCase() + word.slice(1));
  const pattern = `/^(${words.join('|')})(?![a-z])|(${capitalized.join('|')})|^pace$/`;
  return {
    selector: `Identifier[name=${pattern}]`,
    message: 'Use the term of docs/GLOSSARY.md instead of this word.',
  };
}

/** Forbids the platform's wire names outside of its adapter in platform/. */
function platformNameSelectors() {
  const message =
    "Names of the platform's wire format are allowed only in platform/.";
  return PLATFORM_NAME_PATTERNS.flatMap(pattern => [
    {selector: `Literal[value=${pattern}]`, message},
    {selector: `Property > Identifier.key[name=${pattern}]`, message},
  ]);
}

/** Forbids replaced words in all TypeScript code, wire names in packages/. */
function nameRules() {
  const replacedWord = replacedWordSelector();
  return [
    {
      files: ['platform/**/*.ts'],
      rules: {'no-restricted-syntax': ['error', replacedWord]},
    },
    {
      files: ['packages/**/*.ts'],
      rules: {
        'no-restricted-syntax': [
          'error',
          replacedWord,
          ...platformNameSelectors(),
        ],
      },
    },
    {
      files: ['packages/**/*.ts', 'platform/**/*.ts'],
      rules: {
        'no-warning-comments': [
          'error',
          {terms: REPLACED_WORDS, location: 'anywhere'},
        ],
      },
    },
  ];
}

export default defineConfig([
  {ignores: ['**/out/**', '**/dist/**', '**/target/**', '**/node_modules/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['./packages/*/tsconfig.json', './platform/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['describe', 'it', 'test'],
              package: 'node:test',
            },
          ],
        },
      ],
      'max-lines': [
        'error',
        {max: 400, skipBlankLines: true, skipComments: true},
      ],
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {
      ecmaVersion: 2022,
      sourceType: 'module',
      globals: {
        Buffer: 'readonly',
        console: 'readonly',
        process: 'readonly',
        URL: 'readonly',
        fetch: 'readonly',
        setTimeout: 'readonly',
        clearTimeout: 'readonly',
      },
    },
    rules: {'n/no-unpublished-import': 'off', 'n/no-process-exit': 'off'},
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        console: 'readonly',
        process: 'readonly',
        setTimeout: 'readonly',
        URL: 'readonly',
        __dirname: 'readonly',
      },
    },
  },
  ...layerRules(),
  ...nameRules(),
]);
