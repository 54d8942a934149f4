import {readFileSync} from 'node:fs';
import gts from 'gts';
import {defineConfig} from 'eslint/config';

const layers = JSON.parse(
  readFileSync(new URL('./layers.json', import.meta.url), 'utf8'),
);
const packageNames = Object.keys(layers);

/** Imports point only downward: each package may import just what its line in layers.json lists. */
function layerRules() {
  return packageNames.map(name => {
    const forbidden = packageNames.filter(
      other => other !== name && !layers[name].includes(other),
    );
    return {
      files: [`packages/${name}/src/**/*.ts`],
      rules: {
        'no-restricted-imports': [
          'error',
          {
            patterns: [
              {
                group: forbidden.flatMap(other => [
                  `@skylarkfield/${other}`,
                  `@skylarkfield/${other}/*`,
                ]),
                message: `The layer table (layers.json) does not let ${name} import this.`,
              },
            ],
          },
        ],
      },
    };
  });
}

/** The platform's headers and paths, in any case, and its fields, as they are spelled. */
const PLATFORM_NAMES = [
  '/^(x-(try-id|reply-seal|duty-holder|fence-token|expect-replica|prompt-prefix|token-counts|deadline-ms|replica-|kv-)|kv-(from|fetch)|.*skylarkfield\\/(resolve|readyz|objects|report|kv-))/i',
  '/^(PathPrefix|ApiKeys|KvTokens|CurrentRev|MorePages)$/',
];

/** Only the adapter knows the platform's names. */
function platformNameRule() {
  const message = "The platform's names are decoded in platform/ alone.";
  const selectors = PLATFORM_NAMES.flatMap(names => [
    `Literal[value=${names}]`,
    `Property > Identifier.key[name=${names}]`,
  ]);
  return {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        ...selectors.map(selector => ({selector, message})),
      ],
    },
  };
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
  platformNameRule(),
]);
