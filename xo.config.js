/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'node_modules/**']},
	{
		rules: {
			// Options of the well-known abbreviations that readers of this code expect.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// The process entry points set exit codes and end the process on a signal.
			'unicorn/no-process-exit': 'off',
			// Lookups answer undefined or null as the libraries they wrap do.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// Wire fields and HTTP headers keep the names of their protocols.
			'@typescript-eslint/naming-convention': 'off',
			'import-x/extensions': 'off',
			// The binary is a CommonJS bundle, which has no top-level await.
			'unicorn/prefer-top-level-await': 'off',
			'no-await-in-loop': 'off',
			'no-bitwise': 'off',
			// Constructors of results and steps of features are called without new by their libraries.
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err', 'Some', 'None', 'Given', 'When', 'Then', 'Before', 'After', 'BeforeAll', 'AfterAll']}],
			'max-params': ['error', 5],
			complexity: ['error', 20],
		},
	},
];

export default config;
