/** Bundles the processes of the platform if a source is newer than the bundle. */
import {execFileSync} from 'node:child_process';
import {existsSync, readdirSync, statSync} from 'node:fs';
import process from 'node:process';

const bundle = 'target/medlardale.cjs';
const sources = ['src', 'platform', 'scripts', 'package-lock.json'];

/**
 * Finds the time of the latest change below a path.
 *
 * @param path - A file or folder.
 * @returns Time, in ms since the epoch.
 */
function findLatestChange(path) {
	const entry = statSync(path);
	return entry.isDirectory()
		? Math.max(entry.mtimeMs, ...readdirSync(path).map(name => findLatestChange(`${path}/${name}`)))
		: entry.mtimeMs;
}

/** Bundles the processes that the tests start, unless the bundle is up to date. */
export function buildIfStale() {
	const builtAt = existsSync(bundle) ? statSync(bundle).mtimeMs : 0;
	if (sources.some(path => findLatestChange(path) > builtAt)) {
		execFileSync(process.execPath, ['scripts/build-platform.mjs'], {stdio: 'inherit'});
	}
}
