/**
 * Switches off one guard at a time in a copy of the sources and checks that the features notice.
 *
 * Run by `npm run mutations`; ends with a failure if a mutation survives.
 */
import {spawnSync} from 'node:child_process';
import {
	cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const mutations = JSON.parse(readFileSync('scripts/mutations.json', 'utf8'));
const copied = ['src', 'features', 'stand-ins', 'bench', 'scripts', 'package.json', 'tsconfig.json', 'cucumber.mjs', 'KNOWN-RED.txt'];

function runMutation({file, find, replace, feature}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'mutation-'));
	try {
		for (const name of copied) {
			cpSync(name, path.join(folder, name), {recursive: true});
		}

		symlinkSync(path.resolve('node_modules'), path.join(folder, 'node_modules'));
		const target = path.join(folder, file);
		const text = readFileSync(target, 'utf8');
		if (!text.includes(find)) {
			return 'not found';
		}

		writeFileSync(target, text.replace(find, replace));
		const {status} = spawnSync(process.execPath, ['scripts/run-features.mjs', feature], {cwd: folder, stdio: 'ignore'});
		return status === 0 ? 'survived' : 'noticed';
	} finally {
		rmSync(folder, {recursive: true});
	}
}

let failures = 0;
for (const mutation of mutations) {
	const verdict = runMutation(mutation);
	failures += verdict === 'noticed' ? 0 : 1;
	process.stdout.write(`${verdict.padEnd(9)} ${mutation.guard} (${mutation.file}, ${mutation.feature})\n`);
}

process.exitCode = failures === 0 ? 0 : 1;
