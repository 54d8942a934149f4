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

/** Names of the platform's headers, paths and fields: only the adapter knows them. */
const PLATFORM_NAMES =
  '/^(x-(try-id|reply-seal|duty-holder|fence-token|expect-replica|prompt-prefix|token-counts|deadline-ms|tenant|replica-|kv-)|kv-(from|fetch)|.*skylarkfield\\/(resolve|readyz|objects|report|kv-)|PathPrefix|ApiKeys|KvTokens|CurrentRev|MorePages)/i';

function platformNameRule() {
  const message = "The platform's names are decoded in platform/ alone.";
  return {
    files: ['packages/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {selector: `Literal[value=${PLATFORM_NAMES}]`, message},
        {
          selector: `Property > Identifier.key[name=${PLATFORM_NAMES}]`,
          message,
        },
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
  ...layerRules(),
  platformNameRule(),
]);
