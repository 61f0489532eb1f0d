/** Configuration of cucumber-js; steps stand beside their feature files. */
const config = {
	import: ['features/**/*.steps.ts'],
	paths: ['features/**/*.feature'],
	format: ['progress', './scripts/summary-formatter.mjs'],
	publishQuiet: true,
};

export default config;
