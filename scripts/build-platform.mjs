/** Bundles the processes that run on the platform into `target/`, with a code cache of each role beside the bundle. */
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

for (const [role, options] of Object.entries(platformNodeOptions)) {
	execFileSync(process.execPath, [...options, 'scripts/write-code-cache.cjs', bundle, `target/${role}.cache`], {stdio: ['ignore', 'ignore', 'inherit']});
}

copyFileSync('scripts/platform-loader.cjs', 'target/medlardale.cjs');
