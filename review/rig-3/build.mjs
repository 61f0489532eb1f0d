/** Bundles each case with its stand-ins into `target/review-3/`. */
import {existsSync, readdirSync} from 'node:fs';
import {build} from 'esbuild';

const cases = readdirSync('review').filter(name => /^1[1-5]$/.test(name) && existsSync(`review/${name}/case.ts`));

await build({
	entryPoints: cases.map(name => ({in: `review/${name}/case.ts`, out: name})),
	outdir: 'target/review-3',
	outExtension: {'.js': '.cjs'},
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	logLevel: 'warning',
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
});
