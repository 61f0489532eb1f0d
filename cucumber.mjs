/** Configuration of cucumber-js; steps stand beside their feature files. */
import process from 'node:process';

const namesFeature = process.argv.some(argument => /\.feature(:\d+)*$/.test(argument));

const config = {
	import: ['features/**/*.steps.ts'],
	...(namesFeature ? {} : {paths: ['features/**/*.feature']}),
	format: ['./scripts/summary-formatter.mjs'],
	publishQuiet: true,
};

export default config;
