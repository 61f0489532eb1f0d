/**
 * Starts the project's processes with the commands of deploy/system.toml and settings rendered from its template.
 */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const root = path.join(import.meta.dirname, '..', '..');

/** Bounds of the site `hcrc-dispatch`, in the units of their names. */
const bounds = {
	MaxHoldMs: 1000, StopMs: 50, RetransmitMs: 1300, GracePeriodS: 6, ConfigApplyMs: 2000, RemoteFactor: 1.5,
};

/** Waits for some ms. */
export async function sleep(ms) {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Polls until a condition holds; throws after `limitMs`. */
export async function waitUntil(what, check, limitMs = 15_000) {
	const endsAt = Date.now() + limitMs;
	while (!await check()) {
		if (Date.now() > endsAt) {
			throw new Error(`not within ${limitMs} ms: ${what}`);
		}

		await sleep(20);
	}
}

/** Ports below the range that the system gives to outgoing connections. */
const firstPort = 14_000;
const portCount = 16_000;

async function isFree(port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

const takenPorts = new Set();

/** Takes free ports of 127.0.0.1, each only once. */
async function takePorts(count) {
	const ports = [];
	while (ports.length < count) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!takenPorts.has(port) && await isFree(port)) {
			takenPorts.add(port);
			ports.push(port);
		}
	}

	return ports;
}

/** Renders the value placeholders of a settings template, the only ones that the project's template has. */
function renderTemplate(text, fields) {
	return text.replaceAll(/{{([\w.]+)(\|json)?}}/g, (_match, name, json) => {
		let value = fields;
		for (const key of name.split('.')) {
			value = value?.[key];
		}

		return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
	});
}

/** Reads the command, template and variables of a role from deploy/system.toml. */
function readRole(role) {
	const section = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').split(`[roles.${role}]`)[1].split('\n[')[0];
	const [, run] = /^run = "(.*)"$/m.exec(section);
	const [, template] = /^template = "(.*)"$/m.exec(section);
	const [, secret] = /MEDLARDALE_SECRET = "(.*?)"/.exec(section);
	return {words: run.split(' '), template: readFileSync(path.join(root, template), 'utf8'), secret};
}

/** The processes of one small installation on loopback. */
export class Installation {
	processes = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'medlardale-review-'));
	#record = [];
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
	}

	/** Writes a line to the record, with the time in ms. */
	record(what, details = {}) {
		this.#record.push(`${Date.now()} ${what} ${JSON.stringify(details)}`);
		writeFileSync(this.#file, `${this.#record.join('\n')}\n`);
	}

	/** Starts an entry or an agent; `fields` are those of its settings file that differ from process to process. */
	async startProcess(role, name, fields) {
		const [first, second, callers, readiness, heartbeats, metrics] = await takePorts(6);
		const settings = {
			NodeName: name, Ip: '127.0.0.1', Zone: 'kerr', InternalPorts: [first, second], Bounds: bounds,
			ListenAddrs: role === 'entry'
				? {Frontend: `127.0.0.1:${callers}`, Readiness: `127.0.0.1:${readiness}`}
				: {ControlPlane: `127.0.0.1:${heartbeats}`},
			...fields,
		};
		const {words, template, secret} = readRole(role);
		const file = path.join(this.#folder, `${name}.json`);
		// All processes share one address here, so that each needs a port of its own for its metrics.
		writeFileSync(file, renderTemplate(template, settings).replace(':9090', `:${metrics}`));
		const started = {
			role, name, frontend: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`, heartbeats: `127.0.0.1:${heartbeats}`, child: undefined,
			start: () => {
				const [, ...options] = words.map(word => word === '/etc/medlardale/settings.json' ? file : word);
				started.child = spawn(process.execPath, options, {
					cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, MEDLARDALE_SECRET: secret},
				});
				for (const stream of [started.child.stdout, started.child.stderr]) {
					stream.on('data', text => {
						if (process.env.SHOW_LOGS === '1') {
							process.stderr.write(`${name}: ${text}`);
						}
					});
				}

				this.record('process-started', {name, pid: started.child.pid});
			},
			kill: signal => {
				this.record('signal', {name, signal});
				started.child.kill(signal);
			},
		};
		started.start();
		this.processes.push(started);
		return started;
	}

	/** Ends all processes that were started. */
	close() {
		for (const {child} of this.processes) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/**
 * Runs a case and exits: 1 if it returns that the rule was broken, 0 if the rule held, 2 if the case couldn't run.
 */
export function runCase(folder, play) {
	const installation = new Installation(folder);
	const hasTrouble = process.env.TROUBLE !== '0';
	const abort = reason => {
		installation.record('case-aborted', {reason});
		installation.close();
		process.exit(2);
	};

	const timer = setTimeout(abort, 110_000, 'it takes too long');
	process.once('SIGTERM', abort);
	process.once('SIGINT', abort);
	(async () => {
		try {
			const broken = await play(installation, hasTrouble);
			installation.record('verdict', {hasTrouble, broken});
			process.stdout.write(`${broken.length === 0 ? 'held' : 'broken'}: ${broken.length} observations\n${broken.slice(0, 5).join('\n')}\n`);
			process.exitCode = broken.length === 0 ? 0 : 1;
		} catch (error) {
			installation.record('case-failed', {error: error.stack});
			process.stderr.write(`${error.stack}\n`);
			process.exitCode = 2;
		} finally {
			clearTimeout(timer);
			installation.close();
			process.exit();
		}
	})();
}
