/** Options of esbuild that all bundles share. */
export const bundleOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	minify: true,
	legalComments: 'none',
	logLevel: 'warning',
	// Without these definitions, libraries look for native add-ons that are not bundled, which takes a tenth of the start time.
	define: {
		'process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED': '"true"',
		'process.env.WS_NO_BUFFER_UTIL': '"true"',
		'process.env.WS_NO_UTF_8_VALIDATE': '"true"',
	},
};

/** Optional native add-ons of libraries, which are left out of the bundles. */
export const optionalAddons = ['bufferutil', 'utf-8-validate', 'msgpackr-extract'];

/**
 * Node.js options of the processes on the platform, as in `deploy/system.toml`; a code cache is valid only with the
 * options under which it was written. A process has one core at the most, so that threads of V8 only switch. An agent
 * does too little for optimized code to repay its compilation.
 */
const sharedNodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=1', '--single-threaded'];
export const platformNodeOptions = {
	entry: sharedNodeOptions,
	agent: [...sharedNodeOptions, '--no-opt'],
};
