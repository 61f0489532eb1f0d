/**
 * Stand-in of a worker: answers the orders of its agent as the users' pages say, and reports itself to it. It starts whatever it
 * is told to start.
 */
// eslint-disable-next-line n/file-extension-in-import -- The project's stand-ins are TypeScript; esbuild bundles them.
import {startStandInServer} from '../../platform/stand-ins/json-server.ts';
// eslint-disable-next-line n/file-extension-in-import -- As above.
import {WorkerLife} from '../../platform/stand-ins/worker-life.ts';

const heartbeatMs = 1500;

/** Time, in ms, in which a heartbeat has to be acknowledged. */
const heartbeatTimeoutMs = 1000;

function createAnswer(life, reason) {
	return reason === undefined
		? {status: 200, body: {ClockMs: life.readClock()}}
		: {status: 409, body: {ClockMs: life.readClock(), Reason: reason}};
}

/** Reads the run time of a task from its specification, in ms. */
function readRunMs(spec) {
	return Number(spec.split(' ', 1)[0]) || 100;
}

/** A worker with all its lives. */
export class Worker {
	#life;
	#server;
	#timer;
	#lives = 0;
	#sequence = 0;

	/** @param options - Address, service, capacity, labels, and where its starts are recorded. */
	constructor(options) {
		this.options = {
			service: 'desk', cpu: 32_000, memory: 131_072, labels: ['a', 'r1'], ...options,
		};
	}

	/** Identifies the present life. */
	get id() {
		return `${this.options.name}-${this.#lives}`;
	}

	/**
	 * Starts a life.
	 *
	 * @param changes - Options that differ from those of the last life; `firstHeartbeatMs`: time until its first heartbeat.
	 */
	async start({firstHeartbeatMs = 0, ...changes} = {}) {
		this.options = {...this.options, ...changes};
		this.#lives++;
		this.#sequence = 0;
		const {
			ip, port, labels, cpu, maxLeaseMs, stopMs, starts, log,
		} = this.options;
		this.#life = new WorkerLife({
			id: this.id, clockRate: 1, maxLeaseMs, stopMs, getRunMs: readRunMs, onStart(record, spec) {
				starts.push(Object.assign(record, {labels, spec, cpu}));
			},
		});
		this.#server = await startStandInServer(async request => this.#handleRequest(this.#life, request), {host: ip, port});
		log(`worker ${this.id} starts, labels ${labels.join(' ')}`);
		this.#timer = setTimeout(() => {
			this.#sendHeartbeats(this.id);
		}, firstHeartbeatMs);
	}

	/** Ends the present life at once, with its runs and connections. */
	async crash() {
		this.options.log(`worker ${this.id} crashes`);
		await this.stop();
	}

	/** Ends the present life without a line. */
	async stop() {
		clearTimeout(this.#timer);
		this.#life?.[Symbol.dispose]();
		const server = this.#server;
		this.#server = undefined;
		await server?.[Symbol.asyncDispose]();
	}

	async #handleRequest(life, {method, url, body, request}) {
		if (![undefined, this.id].includes(request.headers['expect-instance'])) {
			return {status: 421, body: {ClockMs: life.readClock()}};
		}

		const handlers = {
			'POST /medlardale/run-start': () => createAnswer(life, life.startRun({
				task: String(body.Task), run: Number(body.Run), spec: String(body.Spec), leaseUntil: Number(body.DeadlineAtMs), fencingToken: Number(body.FencingToken ?? 0),
			})),
			'POST /medlardale/run-stop': () => createAnswer(life, life.stopRun(String(body.Task), Number(body.Run), Number(body.FencingToken ?? 0))),
			async 'POST /medlardale/hold'() {
				const answer = await life.renewLease(Number(body.DeadlineAtMs ?? 0), Number(body.FencingToken ?? 0), Number(body.AckedThrough ?? 0), Number(body.WaitMs ?? 0));
				return typeof answer === 'string' ? createAnswer(life, answer) : {status: 200, body: answer};
			},
		};
		const handler = handlers[`${method} ${url.pathname}`];
		return handler === undefined ? {status: 404} : handler();
	}

	#sendHeartbeats(id) {
		this.#sendHeartbeat(id);
		this.#timer = setTimeout(() => {
			this.#sendHeartbeats(id);
		}, heartbeatMs);
	}

	async #sendHeartbeat(id) {
		const {
			ip, port, service, cpu, memory, labels, agent, log,
		} = this.options;
		this.#sequence++;
		const isFirst = this.#sequence === 1;
		try {
			const response = await fetch(`http://${agent}/medlardale/instances/${id}`, {
				method: 'PUT',
				headers: {'content-type': 'application/json'},
				signal: AbortSignal.timeout(heartbeatTimeoutMs),
				body: JSON.stringify({
					Service: service, Address: `${ip}:${port}`, Zone: 'zone-1', Version: 'v1', Slots: 8, State: 'ready', ColdRemainingMs: 0,
					Capacity: {Cpu: cpu, MemMb: memory, Gpu: 0}, Labels: labels, ClockMs: this.#life.readClock(), Sequence: this.#sequence, born: this.#life.bornAt,
				}),
			});
			await response.text();
			if (isFirst) {
				log(`worker ${id}: its first heartbeat is acknowledged with ${response.status}`);
			}
		} catch {
			// The agent is down, or the worker has ended; the next heartbeat follows.
		}
	}
}
