/**
 * A stand-in target: accepts tasks over HTTP, simulates their run time, records starts in a ledger, and announces itself to its agent.
 *
 * To run it as a process: `node --import tsx stand-ins/target.ts --agent 127.0.0.1:7101 --port 0 --slots 8`.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	computeRunTime, defaultBehaviour, type FailureMode, type RunTimeMode, type TargetBehaviour,
} from './target-behaviour.ts';
import {
	listenServer, parseJson, readText, sendAnnouncement, writeJson,
} from './target-http.ts';
import {createLedger, type Ledger} from './target-ledger.ts';

/** Options of a stand-in target. */
export type TargetStandInOptions = {
	/** IP address and port of the agent, such as `127.0.0.1:7101`; without it, no announcements are sent. */
	readonly agent?: string;
	readonly host?: string;
	/** 0 chooses a free port. */
	readonly port?: number;
	/** Maximum number of tasks that run at once. */
	readonly slots?: number;
	/** Maximum number of connections that the server accepts. */
	readonly connections?: number;
	/** Interval of announcements, in ms. */
	readonly announceMs?: number;
	readonly behaviour?: Partial<TargetBehaviour>;
};

/** A running stand-in; disposing of it announces the shutdown to the agent, waits for running tasks and closes the server. */
export type TargetStandIn = AsyncDisposable & {
	readonly address: string;
	readonly ledger: Ledger;
	/** Returns the number of running tasks. */
	countRunning(): number;
	setBehaviour(change: Partial<TargetBehaviour>): void;
	/** Announces to the agent that the target is shutting down; resolves once the agent has answered or cannot be reached. */
	startLeaving(): Promise<void>;
	/** Closes the server and all connections immediately, as in a crash. */
	stopAtOnce(): Promise<void>;
};

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

const defaultSlots = 8;
const defaultConnections = 64;
const defaultAnnounceMs = 1000;

/**
 * Starts a stand-in target.
 *
 * @param options - Agent, address, slots and behaviour.
 * @returns The running stand-in, once it listens and has announced itself.
 */
export async function startTargetStandIn(options: TargetStandInOptions): Promise<TargetStandIn> {
	const {agent, host = '127.0.0.1', port = 0, slots = defaultSlots, connections = defaultConnections} = options;
	const ledger = createLedger();
	let behaviour = {...defaultBehaviour, ...options.behaviour};
	let leaving = false;
	let running = 0;
	let peakRunning = 0;
	/** Number of tasks refused because all slots were taken. */
	let overSlots = 0;
	let notifyIdle: (() => void) | undefined;
	/** Responses still to be written, except those of tasks that hang. */
	const pending = new Set<ServerResponse>();

	function setBehaviour(change: Partial<TargetBehaviour>): void {
		behaviour = {...behaviour, ...change};
	}

	async function runTask(body: unknown): Promise<void> {
		running++;
		peakRunning = Math.max(peakRunning, running);
		const runMs = computeRunTime(behaviour, body);
		await new Promise<void>(resolve => {
			setTimeout(resolve, runMs);
		});
		running--;
	}

	function addPending(response: ServerResponse): void {
		pending.add(response);
		response.once('close', () => {
			removePending(response);
		});
	}

	function removePending(response: ServerResponse): void {
		pending.delete(response);
		if (pending.size === 0) {
			notifyIdle?.();
		}
	}

	async function handleTask(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const text = await readText(request);
		const job = String(request.headers['medlardale-job']);
		const task = Number(request.headers['medlardale-task']);
		ledger.recordStart({
			job,
			task,
			customer: String(request.headers['medlardale-customer']),
			kind: String(request.headers['medlardale-kind']),
			time: Date.now(),
		});
		if (behaviour.failure === 'hang') {
			removePending(response);
			return;
		}

		if (behaviour.failure === 'fail') {
			writeJson(response, 500, {error: 'failure mode "fail": the target fails every task'});
			return;
		}

		if (running >= slots) {
			overSlots++;
			writeJson(response, 503, {error: `all ${slots} slots are taken`});
			return;
		}

		const body = parseJson(text);
		await runTask(body);
		writeJson(response, 200, {job, task, echo: body});
	}

	const handlers: Readonly<Record<string, Handler>> = {
		'POST /tasks': handleTask,
		'GET /ledger'(_request, response) {
			writeJson(response, 200, ledger.listEntries());
		},
		'GET /ledger/summary'(_request, response) {
			writeJson(response, 200, {
				...ledger.computeSummary(), running, peakRunning, overSlots, leaving,
			});
		},
		async 'PUT /behaviour'(request, response) {
			setBehaviour(parseJson(await readText(request)) as Partial<TargetBehaviour>);
			writeJson(response, 200, behaviour);
		},
	};

	async function handleRequest(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await handler(request, response);
		} catch {
			response.destroy();
		}
	}

	// A timeout of 0 disables it: idle connections stay open.
	const server = createServer({keepAliveTimeout: 0}, (request, response) => {
		const handler = handlers[`${request.method} ${request.url}`];
		if (handler === undefined) {
			writeJson(response, 404, {error: `unknown method or path: ${request.method} ${request.url}`});
			return;
		}

		addPending(response);
		void handleRequest(handler, request, response);
	});
	server.maxConnections = connections;
	const address = await listenServer(server, host, port);

	async function announceState(): Promise<void> {
		if (agent !== undefined) {
			await sendAnnouncement(agent, {
				address, slots, connections, leaving,
			});
		}
	}

	async function startLeaving(): Promise<void> {
		leaving = true;
		await announceState();
	}

	async function stopAtOnce(): Promise<void> {
		clearInterval(timer);
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeAllConnections();
		});
	}

	const timer = setInterval(announceState, options.announceMs ?? defaultAnnounceMs);
	await announceState();

	return {
		address,
		ledger,
		countRunning: () => running,
		setBehaviour,
		startLeaving,
		stopAtOnce,
		async [Symbol.asyncDispose]() {
			await startLeaving();
			if (pending.size > 0) {
				await new Promise<void>(resolve => {
					notifyIdle = resolve;
				});
			}

			await stopAtOnce();
		},
	};
}

/** Starts one stand-in per agent, as the command line arguments say, and stops them on SIGTERM or SIGINT. */
async function runProgram(): Promise<void> {
	const {values} = parseArgs({
		options: {
			agent: {type: 'string'},
			agents: {type: 'string'},
			host: {type: 'string', default: '127.0.0.1'},
			port: {type: 'string', default: '0'},
			slots: {type: 'string', default: String(defaultSlots)},
			connections: {type: 'string', default: String(defaultConnections)},
			'run-time': {type: 'string', default: defaultBehaviour.runTime},
			'run-ms': {type: 'string', default: String(defaultBehaviour.runMs)},
			failure: {type: 'string', default: defaultBehaviour.failure},
			'slow-factor': {type: 'string', default: String(defaultBehaviour.slowFactor)},
		},
	});
	const agents = (values.agents ?? values.agent ?? '').split(',').filter(Boolean);
	const targets = await Promise.all(agents.map(async agent => startTargetStandIn({
		agent,
		host: values.host,
		port: agents.length === 1 ? Number(values.port) : 0,
		slots: Number(values.slots),
		connections: Number(values.connections),
		behaviour: {
			runTime: values['run-time'] as RunTimeMode, runMs: Number(values['run-ms']), failure: values.failure as FailureMode, slowFactor: Number(values['slow-factor']),
		},
	})));
	for (const [index, target] of targets.entries()) {
		process.stdout.write(`target ${target.address} announces itself to ${agents[index]}\n`);
	}

	async function stopAll(): Promise<void> {
		await Promise.all(targets.map(async target => target[Symbol.asyncDispose]()));
	}

	process.once('SIGTERM', stopAll).once('SIGINT', stopAll);
}

if (process.argv[1]?.endsWith('stand-ins/target.ts')) {
	void runProgram();
}
