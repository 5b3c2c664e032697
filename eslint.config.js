import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'eslint.config.js'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      eqeqeq: 'error',
      // node:test runs what these register; their promises are its own.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['it', 'test', 'describe', 'suite'], package: 'node:test' },
          ],
        },
      ],
      // A callback of one call, and an early return that drops a value by `void`, read better in one line.
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        { ignoreArrowShorthand: true, ignoreVoidOperator: true, ignoreVoidReturningFunctions: true },
      ],
      // Environment variables and index signatures are read by key on purpose: the key is data, not a member.
      '@typescript-eslint/dot-notation': ['error', { allowIndexSignaturePropertyAccess: true }],
      // A fake, a silent log and a default callback do nothing on purpose.
      '@typescript-eslint/no-empty-function': ['error', { allow: ['arrowFunctions', 'methods'] }],
      // Contradicts no-non-null-assertion, which is the safer of the two.
      '@typescript-eslint/non-nullable-type-assertion-style': 'off',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'scripts/*.ts'],
    plugins: { jsdoc },
    rules: {
      // Every exported item and public member says what it is for; private ones where they need it.
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: { ancestorsOnly: true },
          require: { ClassDeclaration: true, MethodDefinition: true, FunctionDeclaration: true },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'ExportNamedDeclaration > VariableDeclaration',
          ],
          checkConstructors: false,
        },
      ],
    },
  },
  {
    files: ['packages/*/test/**/*.ts'],
    rules: {
      // Flow analysis does not see what a callback assigns, and tests wait for just that.
      '@typescript-eslint/no-unnecessary-condition': 'off',
    },
  },
);
