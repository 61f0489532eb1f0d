/** Options that all bundles share. */
export const bundleOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	minify: true,
	legalComments: 'none',
	logLevel: 'warning',
};

/** Optional native parts of libraries; the bundles do without. */
export const optionalParts = ['bufferutil', 'utf-8-validate', 'msgpackr-extract'];
