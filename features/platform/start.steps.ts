/**
 * Steps of features/platform/start.feature.
 */
import assert from 'node:assert/strict';
import {execFileSync, spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {mkdtemp, open, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Then, When} from '@cucumber/cucumber';
import {readCommand, type Role} from '../../platform/stand-ins/deployment.ts';

type StartWorld = {
	stderr: string;
	end: [code: number | null, signal: string | null];
};

const missingFile = '/tmp/medlardale-missing-settings.json';

When('the command of role {string} in the deploy file is run with a settings file that is missing', function (this: StartWorld, role: string) {
	const section = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${role}]`)[1];
	const [, line] = /run = "(.*)"/.exec(section)!;
	const [command, ...words] = line.split(' ').map(word => word.endsWith('.json') ? missingFile : word);
	this.stderr = spawnSync(command, words, {encoding: 'utf8'}).stderr;
});

Then('it ends with an error that names the settings file', function (this: StartWorld) {
	assert.match(this.stderr, new RegExp(missingFile));
});

Then('the code cache was used', function (this: StartWorld) {
	assert.doesNotMatch(this.stderr, /code cache/);
});

When('the command of role {string} in the deploy file receives SIGHUP while it reads its settings', async function (this: StartWorld, role: Role) {
	const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-start-'));
	const pipe = path.join(folder, 'settings.json');
	execFileSync('mkfifo', [pipe]);
	const {command, args} = readCommand(role, pipe);
	const child = spawn(command, args, {stdio: 'ignore'});
	const exited = once(child, 'exit');
	// Opens once the process has opened the other end.
	const settings = await open(pipe, 'w');
	child.kill('SIGHUP');
	await settings.close();
	this.end = await exited as StartWorld['end'];
	await rm(folder, {recursive: true});
});

Then('it goes on to read them', function (this: StartWorld) {
	// The settings are empty, and so not valid.
	assert.deepEqual(this.end, [2, null]);
});
