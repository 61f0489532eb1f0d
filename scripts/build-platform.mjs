/** Bundles the processes that run on the platform into `target/`. */
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';

mkdirSync('target', {recursive: true});

await build({
	entryPoints: ['platform/main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	minify: true,
	legalComments: 'none',
	logLevel: 'warning',
	format: 'cjs',
	outfile: 'target/medlardale.cjs',
	external: ['bufferutil', 'utf-8-validate', 'msgpackr-extract'],
});
