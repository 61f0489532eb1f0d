/** Bundles the processes that run on the platform into `target/`. */
import {mkdirSync} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions, optionalParts} from './bundle-options.mjs';

mkdirSync('target', {recursive: true});

await build({
	...bundleOptions,
	entryPoints: ['platform/main.ts'],
	format: 'cjs',
	outfile: 'target/medlardale.cjs',
	external: optionalParts,
});
