/** Bundles the program and the client library, and builds a single executable of Node.js and the program's bundle. */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';
import {bundleOptions, optionalAddons} from './bundle-options.mjs';

// Marker in the Node.js binary next to the flag that postject sets, so that the binary runs the embedded program.
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync('dist', {recursive: true});

await build({
	...bundleOptions,
	entryPoints: ['src/main.ts'],
	format: 'cjs',
	outfile: 'dist/medlardale.cjs',
	external: optionalAddons,
});

await build({
	...bundleOptions,
	minify: false,
	entryPoints: ['src/client/client.ts'],
	format: 'esm',
	outfile: 'dist/client.js',
	external: ['undici', 'p-queue', 'ts-results-es'],
});

writeFileSync('dist/sea.json', JSON.stringify({
	main: 'dist/medlardale.cjs',
	output: 'dist/sea.blob',
	disableExperimentalSEAWarning: true,
	useCodeCache: true,
}));
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: ['ignore', 'ignore', 'inherit']});
copyFileSync(process.execPath, 'dist/medlardale');
chmodSync('dist/medlardale', 0o755);
execFileSync(process.execPath, [
	'node_modules/postject/dist/cli.js', 'dist/medlardale', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', sentinelFuse,
], {stdio: ['ignore', 'ignore', 'inherit']});
