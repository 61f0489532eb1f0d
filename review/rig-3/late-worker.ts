/**
 * Stand-in for a worker that leaves one start without an answer and carries it out seconds later, also in its next process.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import {request} from 'undici';
import {
	startStandInServer, type StandInRequest, type StandInResponse, type StandInServer,
} from '../../platform/stand-ins/json-server.ts';
import {WorkerLife, type StartRecord} from '../../platform/stand-ins/worker-life.ts';
import type {WorkerStandInOptions} from '../../platform/stand-ins/worker.ts';

/** Time between two heartbeats, in ms. */
const heartbeatMs = 1500;

/** Time from the start of a process to its first heartbeat, in ms. */
const firstHeartbeatMs = 700;

const maxLeaseMs = 1000;

/** Delay of an order that is carried out late, in ms. */
const minDelayMs = 2000;
const maxDelayMs = 12_000;

type HeldStart = {readonly heldAt: number; readonly order: Parameters<WorkerLife['startRun']>[0]};

/** The stand-in. */
export class LateWorker implements AsyncDisposable {
	readonly starts: StartRecord[] = [];
	address = '';
	/** Kind and rack. */
	labels: readonly string[] = ['a', 'r1'];
	#life: WorkerLife;
	#server: StandInServer | undefined;
	#sequence = 0;
	#timer: NodeJS.Timeout | undefined;
	#heartbeatAddress = '';
	#heldJob: string | undefined;
	#held: HeldStart | undefined;

	/**
	 * @param options - Id, service, capacity and run times.
	 * @param record - Records an event.
	 */
	constructor(private readonly options: WorkerStandInOptions, private readonly record: (event: string, details: Readonly<Record<string, unknown>>) => void) {
		this.#life = this.#createLife();
	}

	/** Returns whether a start was left without an answer. */
	get hasHeldStart(): boolean {
		return this.#held !== undefined;
	}

	/** Starts to listen, on the same address in each life. */
	async listen(): Promise<void> {
		const [host, port] = this.address === '' ? ['127.0.0.1', 0] : this.address.split(':');
		this.#server = await startStandInServer(async call => this.#handleCall(call), {host, port: Number(port)});
		this.address = this.#server.address;
	}

	/** Sends heartbeats to an agent. */
	startHeartbeats(heartbeatAddress: string): void {
		this.#heartbeatAddress = heartbeatAddress;
		clearInterval(this.#timer);
		this.#timer = setInterval(() => {
			void this.#sendHeartbeat();
		}, heartbeatMs);
		void this.#sendHeartbeat();
	}

	/** Leaves the first start of a task of a job without an answer; undefined for none. */
	holdStart(job: string | undefined): void {
		this.#heldJob = job;
	}

	/**
	 * Ends all runs and connections at once, refuses calls for a time, and starts the next life under the same id.
	 *
	 * @param downMs - Time in which calls are refused.
	 * @param onStart - Called as soon as the next life listens.
	 */
	async crash(downMs: number, onStart?: () => void): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		this.#life[Symbol.dispose]();
		this.record('worker-crashed', {worker: this.options.id});
		await server?.[Symbol.asyncDispose]();
		await waitFor(downMs);
		this.#sequence = 0;
		this.#life = this.#createLife();
		await this.listen();
		this.record('worker-started', {worker: this.options.id});
		onStart?.();
		clearInterval(this.#timer);
		await waitFor(firstHeartbeatMs);
		this.startHeartbeats(this.#heartbeatAddress);
	}

	/** Carries out the start that was held, if its delay is one that the pages allow. */
	carryOutHeldStart(): void {
		const held = this.#held;
		const delay = Date.now() - (held?.heldAt ?? 0);
		if (held === undefined || delay < minDelayMs || delay > maxDelayMs) {
			throw new Error(`no start can be carried out ${delay} ms late`);
		}

		this.#held = undefined;
		const refusal = this.#life.startRun(held.order);
		this.record('late-start', {
			worker: this.options.id, task: held.order.task, run: held.order.run, delay, refusal,
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		this.#life[Symbol.dispose]();
		await this.#server?.[Symbol.asyncDispose]();
	}

	#createLife(): WorkerLife {
		const {id, runMs, stopMs = 0, onStart} = this.options;
		return new WorkerLife({
			id,
			clockRate: 1,
			maxLeaseMs,
			stopMs,
			getRunMs: typeof runMs === 'number' ? () => runMs : runMs,
			onStart: (started, spec) => {
				this.starts.push(started);
				onStart?.(started, spec);
			},
		});
	}

	#answer(reason: string | undefined): StandInResponse {
		const body = {ClockMs: this.#life.readClock()};
		return reason === undefined ? {status: 200, body} : {status: 409, body: {...body, Reason: reason}};
	}

	async #handleCall({method, url, body, request: {headers}}: StandInRequest): Promise<StandInResponse> {
		if (![undefined, this.options.id].includes(headers['expect-instance'] as string | undefined)) {
			return {status: 421};
		}

		const handlers: Readonly<Record<string, () => Promise<StandInResponse> | StandInResponse>> = {
			'POST /medlardale/run-start': () => {
				const order = {
					task: String(body.Task), run: Number(body.Run), spec: String(body.Spec), leaseUntil: Number(body.DeadlineAtMs), fencingToken: Number(body.FencingToken),
				};
				if (this.#heldJob !== undefined && order.task.startsWith(`${this.#heldJob}.`)) {
					this.#heldJob = undefined;
					this.#held = {heldAt: Date.now(), order};
					this.record('start-unanswered', {worker: this.options.id, task: order.task, run: order.run});
					return undefined;
				}

				return this.#answer(this.#life.startRun(order));
			},
			'POST /medlardale/run-stop': () => this.#answer(this.#life.stopRun(String(body.Task), Number(body.Run), Number(body.FencingToken))),
			'POST /medlardale/hold': async () => {
				const answer = await this.#life.renewLease(Number(body.DeadlineAtMs ?? 0), Number(body.FencingToken), Number(body.AckedThrough ?? 0), Number(body.WaitMs ?? 0));
				return typeof answer === 'string' ? this.#answer(answer) : {status: 200, body: answer};
			},
		};
		const handler = handlers[`${method} ${url.pathname}`];
		return handler === undefined ? {status: 404} : handler();
	}

	async #sendHeartbeat(): Promise<void> {
		if (this.#server === undefined) {
			return;
		}

		this.#sequence++;
		const {id, service, cpu} = this.options;
		const body = {
			Service: service, Address: this.address, Zone: 'kerr', Version: 'v1', Slots: 8, State: 'ready', ColdRemainingMs: 0,
			Capacity: {Cpu: cpu, MemMb: 65_536, Gpu: 0}, Labels: this.labels, ClockMs: this.#life.readClock(), Sequence: this.#sequence, born: this.#life.bornAt,
		};
		try {
			const response = await request(`http://${this.#heartbeatAddress}/medlardale/instances/${id}`, {method: 'PUT', body: JSON.stringify(body)});
			await response.body.dump();
		} catch {
			// The agent is down; the next heartbeat may reach it.
		}
	}
}
