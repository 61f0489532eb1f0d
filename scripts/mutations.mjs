/**
 * Mutation test: applies one mutation of scripts/mutations.json at a time to a copy of the project and checks that its feature fails.
 *
 * Each mutation disables one safeguard. Run by `npm run mutations`; exits with 1 if a mutation survives or its code is not found.
 */
import {spawnSync} from 'node:child_process';
import {
	cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const mutations = JSON.parse(readFileSync('scripts/mutations.json', 'utf8'));
const copiedPaths = ['src', 'features', 'stand-ins', 'bench', 'scripts', 'package.json', 'tsconfig.json', 'cucumber.mjs', 'KNOWN-RED.txt'];

function runMutation({file, find, replace, feature}) {
	const folder = mkdtempSync(path.join(tmpdir(), 'mutation-'));
	try {
		for (const name of copiedPaths) {
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
