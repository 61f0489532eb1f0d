/**
 * Stand-ins of the platform: its store, a link that can go silent, workers and clients, as PROTOCOL.md describes them.
 */
import {Buffer} from 'node:buffer';
import {createServer, request as sendHttp, Agent} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {sleep} from './processes.mjs';

async function listen(server) {
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${server.address().port}`;
}

/** Starts an HTTP server for JSON; a handler that returns undefined leaves its request without an answer. */
async function startJsonServer(handle) {
	const server = createServer({keepAliveTimeout: 600_000}, (request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', async () => {
			const text = Buffer.concat(chunks).toString('utf8');
			const answer = await handle(request.method, new URL(request.url, 'http://stand-in'), text === '' ? {} : JSON.parse(text));
			if (answer !== undefined && !response.destroyed) {
				response.writeHead(answer.status, {'content-type': 'application/json'}).end(JSON.stringify(answer.body ?? {}));
			}
		});
	});
	return {server, address: await listen(server)};
}

/** Starts the platform's store: keys with revisions, conditional writes, lists and watches. */
export async function startStore() {
	const items = new Map();
	const waiting = new Set();
	let revision = 100;

	function write(key, text) {
		revision++;
		items.set(key, {
			Key: key, Value: text, Revision: revision, Created: items.get(key)?.Created ?? revision, Lease: 0,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	const list = (prefix, after) => [...items.values()].filter(item => item.Key.startsWith(prefix) && item.Revision > after);

	async function watch({searchParams}) {
		const endsAt = Date.now() + Number(searchParams.get('WaitMs'));
		for (;;) {
			const events = list(searchParams.get('Prefix'), Number(searchParams.get('After'))).sort((left, right) => left.Revision - right.Revision);
			const left = endsAt - Date.now();
			if (events.length > 0 || left <= 0) {
				return {status: 200, body: {events, At: revision}};
			}

			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, left);
				waiting.add(wake);
			});
		}
	}

	const handlers = {
		'GET /medlardale/kv-key'({searchParams}) {
			const item = items.get(searchParams.get('Key'));
			return item === undefined ? {status: 404, body: {At: revision}} : {status: 200, body: {...item, At: revision}};
		},
		'GET /medlardale/kv-range'({searchParams}) {
			const found = list(searchParams.get('Prefix'), 0).filter(({Key}) => Key > (searchParams.get('After') ?? '')).sort((left, right) => left.Key < right.Key ? -1 : 1);
			return {status: 200, body: {items: found.slice(0, 500), HasMore: found.length > 500, At: revision}};
		},
		'GET /medlardale/kv-watch': watch,
		'POST /medlardale/kv-txn'(_url, {ExpectedRevision = [], Writes = []}) {
			if (ExpectedRevision.some(({Key, Revision}) => (items.get(Key)?.Revision ?? 0) !== Revision)) {
				return {status: 412, body: {items: ExpectedRevision.flatMap(({Key}) => items.get(Key) ?? [])}};
			}

			for (const {Key, Value} of Writes) {
				write(Key, Value);
			}

			return {status: 200, body: {Revision: revision}};
		},
	};
	const {address} = await startJsonServer(async (method, url, body) => handlers[`${method} ${url.pathname}`]?.(url, body) ?? {status: 404});
	return {
		address,
		/** Writes the configuration as the operator does; its return is the acknowledgement. */
		writeConfiguration(version, routes) {
			write('op/config', Buffer.from(JSON.stringify({
				Version: version,
				Routes: routes.map(name => ({
					Name: name, Host: 'jobs.example', Prefix: `/${name}/`, Type: 'non_idempotent',
					TimeoutMs: 1500, TargetDurationMs: 60, Priority: 0, Service: 'desk', MaxAttempts: 4, SlackFactor: 1.6,
				})),
				Services: [{Name: 'desk', HealthPath: '/health', RejectsOverload: false}],
				Limits: {MaxBodyBytes: 262_144},
			})).toString('base64'));
		},
	};
}

/** Starts a TCP link to a server; open channels can go silent for good while new ones work, and the link can be cut for a time. */
export async function startLink(target) {
	const channels = new Set();
	const [host, port] = target.split(':');
	const server = createTcpServer(near => {
		const far = connect(Number(port), host);
		const channel = {isSilent: false, near, far};
		channels.add(channel);
		for (const [from, to] of [[near, far], [far, near]]) {
			from.on('data', data => {
				if (!channel.isSilent) {
					to.write(data);
				}
			});
			from.on('close', () => {
				channels.delete(channel);
				if (!channel.isSilent) {
					to.destroy();
				}
			});
			from.on('error', () => undefined);
		}
	});
	const address = await listen(server);
	return {
		address,
		/** Makes the open channels silent, without a reset; returns their number. */
		silenceOpenChannels() {
			for (const channel of channels) {
				channel.isSilent = true;
			}

			return channels.size;
		},
		/** Cuts the link for some ms: resets the open channels and refuses new ones. */
		async refuseChannels(ms) {
			server.close();
			for (const {near, far} of channels) {
				near.resetAndDestroy();
				far.resetAndDestroy();
			}

			await sleep(ms);
			await new Promise(resolve => {
				server.listen(Number(address.split(':')[1]), '127.0.0.1', resolve);
			});
		},
	};
}

const leaseCheckMs = 5;
const maxLeaseMs = 1000;
const stopMs = 20;

/**
 * Starts a worker, which runs tasks under leases, and records every start and end.
 *
 * @param {{id: string, cpu: number, runMs: number | ((spec: string) => number), record: Function}} options - Its id, its capacity and the run time of a task, in ms, which may depend on the `Spec`.
 * @returns Its address, and `beat`, which makes it send heartbeats to an agent.
 */
export async function startWorker({id, cpu, runMs, record}) {
	const bornAt = Date.now();
	const running = new Map();
	const highestRuns = new Map();
	const runs = [];
	let finished = [];
	let leaseUntil = 0;
	let fence = 0;
	let position = 0;
	let sequence = 0;
	let renewedAt = 0;
	const readClock = () => Date.now() - bornAt;
	const refuse = Reason => ({status: 409, body: {ClockMs: readClock(), Reason}});

	function end(task, run, how) {
		const found = running.get(task);
		if (found?.run !== run) {
			return;
		}

		clearTimeout(found.timer);
		running.delete(task);
		found.endedAt = Date.now();
		found.how = how;
		position++;
		finished.push([position, task, run, how, '']);
		record('run-ended', {
			worker: id, task, run, how,
		});
	}

	function extend(until) {
		leaseUntil = Math.max(leaseUntil, Math.min(until ?? 0, readClock() + maxLeaseMs));
	}

	const handlers = {
		'POST /medlardale/run-start'({Task, Run, Spec, DeadlineAtMs, FencingToken = 0}) {
			if (FencingToken < fence) {
				return refuse('fence');
			}

			fence = FencingToken;
			if (running.get(Task)?.run === Run) {
				return {status: 200, body: {ClockMs: readClock()}};
			}

			extend(DeadlineAtMs);
			if (Run <= (highestRuns.get(Task) ?? 0)) {
				return refuse('old');
			}

			if (DeadlineAtMs <= readClock()) {
				return refuse('late');
			}

			highestRuns.set(Task, Run);
			const found = {
				task: Task, run: Run, worker: id, startedAt: Date.now(),
			};
			found.runMs = typeof runMs === 'function' ? runMs(Spec) : runMs;
			found.timer = setTimeout(end, found.runMs, Task, Run, 'done');
			running.set(Task, found);
			runs.push(found);
			record('run-started', {worker: id, task: Task, run: Run});
			return {status: 200, body: {ClockMs: readClock()}};
		},
		'POST /medlardale/run-stop'({Task, Run, FencingToken = 0}) {
			if (FencingToken < fence) {
				return refuse('fence');
			}

			fence = FencingToken;
			highestRuns.set(Task, Math.max(highestRuns.get(Task) ?? 0, Run));
			setTimeout(end, stopMs, Task, Run, 'stopped');
			return {status: 200, body: {ClockMs: readClock()}};
		},
		async 'POST /medlardale/hold'({DeadlineAtMs, FencingToken = 0, AckedThrough = 0, WaitMs = 0}) {
			if (FencingToken < fence) {
				return refuse('fence');
			}

			fence = FencingToken;
			renewedAt = DeadlineAtMs === undefined ? renewedAt : Date.now();
			extend(DeadlineAtMs);
			finished = finished.filter(([number]) => number > AckedThrough);
			const endsAt = Date.now() + WaitMs;
			while (finished.length === 0 && Date.now() < endsAt) {
				await sleep(2);
			}

			return {
				status: 200,
				body: {
					ClockMs: readClock(),
					born: bornAt,
					Running: [...running.values()].map(({task, run, startedAt, ...found}) => [task, run, '', Math.min(99, Math.floor(100 * (Date.now() - startedAt) / found.runMs)), 0]),
					Finished: finished.slice(0, 500),
				},
			};
		},
	};
	const {address} = await startJsonServer(async (method, url, body) => handlers[`${method} ${url.pathname}`]?.(body) ?? {status: 404});
	setInterval(() => {
		if (readClock() > leaseUntil) {
			for (const {task, run} of running.values()) {
				end(task, run, 'lapsed');
			}
		}
	}, leaseCheckMs);
	return {
		address,
		runs,
		/** Returns when a call last extended the lease, or 0. */
		getRenewedAt: () => renewedAt,
		beat(agent) {
			const send = async () => {
				sequence++;
				await sendRequest(agent, 'PUT', `/medlardale/instances/${id}`, {
					body: {
						Service: 'desk', Address: address, Zone: 'kerr', Version: 'v1', Slots: 8, State: 'ready', ColdRemainingMs: 0,
						Capacity: {Cpu: cpu, MemMb: 131_072, Gpu: 0}, Labels: ['a', 'r1'], ClockMs: readClock(), Sequence: sequence, born: bornAt,
					},
				});
			};

			send();
			setInterval(send, 500);
		},
	};
}

/**
 * Sends a request on a channel of its own.
 *
 * @returns Its status, 0 without an answer, and the body.
 */
export async function sendRequest(address, method, path, {body, headers = {}} = {}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const agent = new Agent({keepAlive: false});
		const text = body === undefined ? undefined : JSON.stringify(body);
		const request = sendHttp({
			host, port, method, path, agent, headers: {...headers, ...(text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		}, response => {
			const chunks = [];
			response.on('data', chunk => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve({status: response.statusCode, body: Buffer.concat(chunks).toString('utf8')});
			});
			response.on('error', () => {
				resolve({status: 0, body: ''});
			});
		});
		request.on('error', () => {
			resolve({status: 0, body: ''});
		});
		request.end(text);
	});
}

let lastJob = Date.now() % 1_000_000_000;

/** Creates the id of a job: 16 hexadecimal digits. */
export function createJobId() {
	lastJob++;
	return `ab${lastJob.toString(16).padStart(14, '0')}`;
}

/** Submits a job at an entry as a client does, and records what was sent and answered. */
export async function submitJob(entry, {id = createJobId(), route, spec = id, step = {}, deadlineMs = 1500, record}) {
	const sentAt = Date.now();
	record('job-sent', {id, route, entry: entry.name});
	const answer = await sendRequest(entry.frontend, 'POST', `/${route}/${id}`, {
		headers: {host: 'jobs.example', 'deadline-ms': String(deadlineMs)},
		body: {
			BestEffort: true, Spec: spec, Steps: [{
				Count: 1, Cpu: 500, MemMb: 64, EstimateMs: 50, ...step,
			}],
		},
	});
	record('job-answered', {
		id, route, entry: entry.name, ...answer,
	});
	return {id, sentAt, ...answer};
}

/** Returns whether an entry is ready and can run a job on a route. */
export async function isServing(entry, route, record) {
	const ready = await sendRequest(entry.readiness, 'GET', '/medlardale/ready');
	if (ready.status !== 200) {
		return false;
	}

	const {status} = await submitJob(entry, {route, record});
	return status === 200;
}

/** Lists the pairs of runs of one task that went on at the same time at two workers. */
export function listOverlaps(workers) {
	const groups = new Map();
	for (const run of workers.flatMap(({runs}) => runs)) {
		groups.set(run.task, [...groups.get(run.task) ?? [], run]);
	}

	return [...groups.values()].flatMap(runs => runs.flatMap((left, index) => runs.slice(index + 1).map(right => ({
		left, right, overlapMs: Math.min(left.endedAt ?? Date.now(), right.endedAt ?? Date.now()) - Math.max(left.startedAt, right.startedAt),
	}))).filter(({left, right, overlapMs}) => left.worker !== right.worker && overlapMs > 0));
}

/** Records pairs of runs and describes them. */
export function describeOverlaps(overlaps, record) {
	return overlaps.map(({left, right, overlapMs}) => {
		record('two-runs', {
			task: left.task, first: [left.worker, left.run], second: [right.worker, right.run], overlapMs,
		});
		return `${left.task}: run ${left.run} at ${left.worker} and run ${right.run} at ${right.worker} for ${overlapMs} ms`;
	});
}
