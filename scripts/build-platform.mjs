/** Bundles the processes that run on the platform into `target/`, with a code cache beside the bundle. */
import {execFileSync} from 'node:child_process';
import {copyFileSync, mkdirSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {bundleOptions, optionalAddons, platformNodeOptions} from './bundle-options.mjs';

const bundle = 'target/bundle.cjs';

mkdirSync('target', {recursive: true});

await build({
	...bundleOptions,
	entryPoints: ['platform/main.ts'],
	format: 'cjs',
	outfile: bundle,
	external: optionalAddons,
});

execFileSync(process.execPath, [...platformNodeOptions, 'scripts/write-code-cache.cjs', bundle, 'target/bundle.cache'], {stdio: ['ignore', 'ignore', 'inherit']});
copyFileSync('scripts/platform-loader.cjs', 'target/medlardale.cjs');
