/**
 * Steps for errors that nothing caught.
 */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {takePorts} from '../../bench/rig/ports.ts';

type UnexpectedErrorWorld = {
	output: string;
	server: Server | undefined;
	port: number;
	failure: {code: number; stderr: string};
};

const runFile = promisify(execFile);

const throwers: Readonly<Record<string, string>> = {
	'in a timer': 'setTimeout(() => { throw new Error("boom"); }, 1);',
	'in a task': 'void Promise.reject(new Error("boom"));',
};

When(/^a process throws "boom" (in a timer|in a task)$/, {timeout: 30_000}, async function (this: UnexpectedErrorWorld, where: string) {
	const code = `
		import {listenForUnexpectedErrors} from './src/adapters/system/unexpected-errors.ts';
		listenForUnexpectedErrors(process, {recordDecision: (level, event, fields) => console.log(JSON.stringify({level, event, ...fields}))});
		${throwers[where]}
		setTimeout(() => console.log('worked'), 100);`;
	// Rejects if the process exits with another code than 0.
	({stdout: this.output} = await runFile(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', code]));
});

Then('it logs "boom" with the origin {string}', function (this: UnexpectedErrorWorld, origin: string) {
	const line = JSON.parse(this.output.split('\n', 1)[0]) as Record<string, string>;
	assert.deepEqual({...line, stack: ''}, {
		level: 'warn', event: 'unexpected-error', origin, error: 'boom', stack: '',
	});
});

Then('it ends by itself with exit code 0 after its work', function (this: UnexpectedErrorWorld) {
	assert.match(this.output, /worked/);
});

Given('a process listens on a port', async function (this: UnexpectedErrorWorld) {
	[this.port] = await takePorts(1);
	this.server = createServer().listen(this.port, '127.0.0.1');
	await once(this.server, 'listening');
});

When('an agent is started whose stream port is taken', {timeout: 30_000}, async function (this: UnexpectedErrorWorld) {
	const folder = await mkdtemp(path.join(tmpdir(), 'medlardale-start-'));
	const file = path.join(folder, 'settings.json');
	const bounds = {
		maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
	};
	await writeFile(file, JSON.stringify({
		name: 'a', host: '127.0.0.1', dataCentre: 'dc', entryPort: 1, agentPort: this.port, store: '127.0.0.1:1', heartbeats: '127.0.0.1:1', worker: '127.0.0.1:1', bounds,
	}));
	try {
		await runFile(process.execPath, ['target/medlardale.cjs', 'agent', '--settings', file]);
	} catch (error) {
		this.failure = error as UnexpectedErrorWorld['failure'];
	} finally {
		await rm(folder, {recursive: true});
	}
});

Then('it ends with exit code 1 and says that the port is taken', function (this: UnexpectedErrorWorld) {
	assert.equal(this.failure.code, 1);
	assert.match(this.failure.stderr, /cannot start: .*EADDRINUSE/);
});

After(function (this: UnexpectedErrorWorld) {
	this.server?.close();
});
