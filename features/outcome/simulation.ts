/**
 * Simulates a fleet of agents under faults: messages are lost, duplicated, delayed and reordered, and processes are
 * killed, restarted and frozen. Runs the core logic of homes and start records that the agent process uses.
 */
import assert from 'node:assert/strict';
import {
	acceptTask, dropJob, endTask, getHome, refuseTask, startTask,
} from '../../src/core/execution/logic.ts';
import {createExecutionRecords, pruneRecords, type ExecutionRecords} from '../../src/core/execution/state.ts';
import type {JobIdParts, NodeRef} from '../../src/core/identity/types.ts';
import {
	endOverdueJobs, cancelJob, listSentTasks, queryJob, recordResults, refuseJob, settleLostTasks, sendTask, submitJob,
} from '../../src/core/outcome/logic.ts';
import {PendingQueue} from '../../src/core/outcome/pending.ts';
import {
	createHome, pruneJobs, pruneRefusals, takeEffects, type HomeState,
} from '../../src/core/outcome/state.ts';
import type {HomeOptions} from '../../src/core/outcome/types.ts';
import type {
	JobAnswer, JobRequest, PeerMessage, TaskResult, TaskStart,
} from '../../src/ports/messages.ts';
import {createSeededRandom, type Random} from '../../src/ports/random.ts';

/** Probabilities that a message is lost or duplicated, and the maximum delay, in ms. */
export type NetworkFaults = {
	loss: number;
	duplication: number;
	maxDelay: number;
};

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** One agent of the simulation. */
export type SimAgent = {
	node: NodeRef;
	home: HomeState;
	records: ExecutionRecords;
	pending: PendingQueue;
	queue: TaskStart[];
	running: number;
	isAlive: boolean;
	/** Events held back while the process is frozen; undefined while it is not. */
	heldEvents: Array<() => void> | undefined;
};

/** A caller of one job id, with the answers that it received. */
export type SimCaller = {
	readonly id: string;
	readonly parts: JobIdParts;
	readonly request: JobRequest;
	readonly answers: JobAnswer[];
	/** Number of started tasks when the first `not-run` answer with reason `cancelled` arrived; undefined without one. */
	startsWhenCancelled: number | undefined;
};

export const homeOptions: HomeOptions = {
	windowMs: 5000, maxClockSkewMs: 500, memoryBytes: 1_000_000, maxJobs: 1000, maxRefusals: 1000, maxPlacements: 3,
};

const slots = 2;
const maxQueue = 3;

/** Maximum number of tasks of one home that are sent to one agent and have no result yet. */
const maxSent = 4;

const tickMs = 10;
const resendMs = 200;
const encoder = new TextEncoder();

/** Returns the expected result of task `index` of a job; it is also the body of the task. */
export function computeResult(id: string, index: number): string {
	return `${id}#${index}`;
}

/** The simulated fleet. */
export class Simulation {
	now = 1_000_000;
	readonly random: Random;
	readonly faults: NetworkFaults = {loss: 0, duplication: 0, maxDelay: 2};
	readonly agents: SimAgent[] = [];
	readonly callers = new Map<string, SimCaller>();
	/** Number of starts by `job id#task index`. */
	readonly startCounts = new Map<string, number>();
	/** Tasks that fail, as `job id#task index`. */
	readonly failingTasks = new Set<string>();
	runTimeMs = 20;
	readonly #events: Event[] = [];
	#order = 0;

	constructor(seed: number, agentCount: number) {
		this.random = createSeededRandom(seed);
		for (let index = 0; index < agentCount; index++) {
			this.agents.push(this.#createAgent(`agent-${index + 1}`));
		}

		this.#schedule(tickMs, () => {
			this.#tick();
		});
		this.#schedule(resendMs, () => {
			this.#resend();
		});
	}

	/** Runs the events of the next `duration` ms. */
	run(duration: number): void {
		const end = this.now + duration;
		for (;;) {
			let next = 0;
			for (const [index, event] of this.#events.entries()) {
				const first = this.#events[next];
				if (event.at < first.at || (event.at === first.at && event.order < first.order)) {
					next = index;
				}
			}

			const event = this.#events[next];
			if (event === undefined || event.at > end) {
				this.now = end;
				return;
			}

			this.#events.splice(next, 1);
			this.now = Math.max(this.now, event.at);
			event.run();
		}
	}

	/** Adds a caller with a job id minted for a home at the current time. */
	addCaller(home: SimAgent, tasks: number, deadline: number): SimCaller {
		const id = `job-${this.callers.size + 1}`;
		const request: JobRequest = {
			id,
			customer: 'customer',
			kind: 'kind',
			deadline,
			idempotent: false,
			digest: `digest of ${id}`,
			tasks: Array.from({length: tasks}, (_, index) => encoder.encode(computeResult(id, index))),
		};
		const caller: SimCaller = {
			id, parts: {home: home.node, mintedAt: this.now, nonce: ''}, request, answers: [], startsWhenCancelled: undefined,
		};
		this.callers.set(id, caller);
		return caller;
	}

	/** Sends a submission of the caller's id from an entry. */
	submit(caller: SimCaller, entry = 'entry-1'): void {
		this.#sendToHome(caller, entry, {
			type: 'submit', request: caller.request, isTrial: false, ejected: [],
		});
	}

	/** Sends a query, cancellation or refusal of the caller's id from an entry. */
	call(caller: SimCaller, type: 'query' | 'cancel' | 'refuse', entry = 'entry-1'): void {
		this.#sendToHome(caller, entry, {
			type, id: caller.id, customer: 'customer', detail: '',
		});
	}

	/** Kills an agent; the others learn of it from membership 300 ms later. */
	kill(agent: SimAgent): void {
		agent.isAlive = false;
		agent.heldEvents = undefined;
		const {node} = agent;
		this.#schedule(300, () => {
			this.#broadcastDeath(node);
		});
	}

	/** Replaces an agent, killed or running, by a new incarnation of the same name; the others learn of it 50 ms later. */
	restart(agent: SimAgent): void {
		const previous = agent.node;
		Object.assign(agent, this.#createAgent(previous.name));
		this.#schedule(50, () => {
			this.#broadcastDeath(previous);
		});
	}

	/** Freezes an agent; the others consider it dead 300 ms later. */
	freeze(agent: SimAgent): void {
		agent.heldEvents ??= [];
		const {node} = agent;
		this.#schedule(300, () => {
			this.#broadcastDeath(node);
		});
	}

	/** Resumes a frozen agent, which then handles the events that arrived meanwhile. */
	resume(agent: SimAgent): void {
		const events = agent.heldEvents ?? [];
		agent.heldEvents = undefined;
		for (const run of events) {
			run();
		}
	}

	/** Counts how often tasks of a job were started. */
	countStarts(id: string): number {
		const {length} = this.callers.get(id)!.request.tasks;
		let starts = 0;
		for (let index = 0; index < length; index++) {
			starts += this.startCounts.get(computeResult(id, index)) ?? 0;
		}

		return starts;
	}

	/** Asserts the invariants that hold for every job at any time. */
	assertInvariants(): void {
		for (const [task, starts] of this.startCounts) {
			assert.ok(starts <= 1, `task ${task} started ${starts} times`);
		}

		for (const caller of this.callers.values()) {
			this.#assertAnswers(caller);
		}
	}

	#assertAnswers({id, request, answers, startsWhenCancelled}: SimCaller): void {
		const starts = this.countStarts(id);
		const definite = new Set(answers.map(({outcome}) => outcome).filter(outcome => outcome !== 'unknown'));
		assert.ok(definite.size <= 1, `job ${id} was answered ${[...definite].join(' and ')}`);
		for (const answer of answers) {
			if (answer.outcome === 'complete') {
				assert.deepEqual(
					answer.results.map(result => new TextDecoder().decode(result)),
					request.tasks.map((_, index) => computeResult(id, index)),
				);
				assert.equal(starts, request.tasks.length);
			}

			assert.ok(answer.outcome !== 'not-run' || starts === 0, `job ${id} was answered not-run and has ${starts} starts`);
			assert.ok(answer.outcome !== 'failed' || starts > 0, `job ${id} was answered failed and has no start`);
		}

		assert.ok(startsWhenCancelled === undefined || starts === startsWhenCancelled, `job ${id} started a task after its cancellation was answered`);
	}

	#createAgent(name: string): SimAgent {
		const node = {name, incarnation: this.now};
		return {
			node,
			home: createHome(node, homeOptions),
			records: createExecutionRecords({windowMs: homeOptions.windowMs + homeOptions.maxClockSkewMs, maxTasks: 10_000}),
			pending: new PendingQueue(),
			queue: [],
			running: 0,
			isAlive: true,
			heldEvents: undefined,
		};
	}

	#schedule(delay: number, run: () => void): void {
		this.#events.push({at: this.now + delay, order: this.#order++, run});
	}

	/** Runs an event at an agent incarnation after a delay; a frozen agent handles it when it resumes. */
	#deliver(agent: SimAgent, delay: number, run: () => void): void {
		const {node} = agent;
		this.#schedule(delay, () => {
			if (!agent.isAlive || agent.node !== node) {
				return;
			}

			if (agent.heldEvents === undefined) {
				run();
			} else {
				agent.heldEvents.push(run);
			}
		});
	}

	/** Calls `run` with a random delay for each copy of a message that arrives: none, one or two. */
	#transmit(run: (delay: number) => void): void {
		const copies = this.random.getFloat() < this.faults.duplication ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (this.random.getFloat() >= this.faults.loss) {
				run(1 + this.random.getInteger(this.faults.maxDelay));
			}
		}
	}

	#findAgent(node: NodeRef): SimAgent | undefined {
		return this.agents.find(agent => agent.isAlive && agent.node.name === node.name && agent.node.incarnation === node.incarnation);
	}

	#sendToHome(caller: SimCaller, entry: string, message: PeerMessage): void {
		const agent = this.agents.find(({node}) => node.name === caller.parts.home.name)!;
		const from = {name: entry, incarnation: 1};
		this.#transmit(delay => {
			this.#deliver(agent, delay, () => {
				this.#applyCall(agent, caller, from, message);
			});
		});
	}

	#applyCall(agent: SimAgent, caller: SimCaller, from: NodeRef, message: PeerMessage): void {
		const {home} = agent;
		const call = {
			id: caller.id, customer: 'customer', parts: caller.parts, from,
		};
		const handlers: Partial<Record<PeerMessage['type'], () => void>> = {
			submit: () => {
				submitJob(home, {request: caller.request, from, ...caller.parts}, this.now);
			},
			query: () => {
				queryJob(home, call, this.now);
			},
			cancel: () => {
				cancelJob(home, call, this.now);
			},
			refuse: () => {
				refuseJob(home, call, {outcome: 'not-run', reason: 'contract-limit', detail: ''}, this.now);
			},
		};
		handlers[message.type]!();
		this.#applyEffects(agent);
	}

	#applyEffects(agent: SimAgent): void {
		for (const effect of takeEffects(agent.home)) {
			if (effect.type === 'reply') {
				this.#replyToCaller(effect.id, effect.answer);
			}

			if (effect.type === 'queued') {
				agent.pending.addJob(effect.job, {weight: 1, urgency: 'normal'});
			}

			if (effect.type === 'drop') {
				this.#sendDrop(effect.to, effect.job.id, effect.job.mintedAt);
			}
		}
	}

	#replyToCaller(id: string, answer: JobAnswer): void {
		this.#transmit(delay => {
			this.#schedule(delay, () => {
				this.#recordAnswer(id, answer);
			});
		});
	}

	#recordAnswer(id: string, answer: JobAnswer): void {
		const caller = this.callers.get(id)!;
		caller.answers.push(answer);
		if (answer.outcome !== 'complete' && answer.outcome !== 'unknown' && answer.reason === 'cancelled') {
			// A cancelled job with outcome `failed` has started tasks, and others may start before their agent handles the drop.
			const hasStarted = answer.outcome === 'failed';
			caller.startsWhenCancelled ??= hasStarted ? undefined : this.countStarts(id);
		}
	}

	#sendDrop(to: NodeRef, id: string, mintedAt: number): void {
		this.#sendToAgent(to, agent => {
			dropJob(agent.records, id, mintedAt);
			for (const task of agent.queue.filter(({job}) => job === id)) {
				this.#reply(agent, getHome(agent.records, task), refuseTask(agent.records, task, 'cancelled'));
			}

			agent.queue = agent.queue.filter(({job}) => job !== id);
		});
	}

	#sendToAgent(to: NodeRef, run: (agent: SimAgent) => void): void {
		const agent = this.#findAgent(to);
		if (agent === undefined) {
			return;
		}

		this.#transmit(delay => {
			this.#deliver(agent, delay, () => {
				run(agent);
			});
		});
	}

	#sendStarts(home: SimAgent, to: NodeRef, tasks: readonly TaskStart[]): void {
		this.#sendToAgent(to, agent => {
			for (const task of tasks) {
				this.#acceptTask(agent, home.node, task);
			}
		});
	}

	#acceptTask(agent: SimAgent, home: NodeRef, task: TaskStart): void {
		const acceptance = acceptTask(agent.records, home, task, this.now);
		if (acceptance.type === 'reply') {
			this.#reply(agent, home, acceptance.result);
		} else if (acceptance.type === 'queue' && agent.queue.length >= maxQueue) {
			this.#reply(agent, home, refuseTask(agent.records, task, 'queue-full'));
		} else if (acceptance.type === 'queue') {
			agent.queue.push(task);
		}
	}

	#reply(agent: SimAgent, home: NodeRef, result: TaskResult): void {
		const {node} = agent;
		this.#sendToAgent(home, target => {
			recordResults(target.home, node, [result]);
			this.#applyEffects(target);
		});
	}

	#startQueued(agent: SimAgent): void {
		while (agent.running < slots && agent.queue.length > 0) {
			const task = agent.queue.shift()!;
			agent.running++;
			startTask(agent.records, task);
			const key = computeResult(task.job, task.index);
			this.startCounts.set(key, (this.startCounts.get(key) ?? 0) + 1);
			this.#deliver(agent, 1 + this.random.getInteger(this.runTimeMs), () => {
				agent.running--;
				const isFailing = this.failingTasks.has(key);
				const result: TaskResult = {
					job: task.job, index: task.index, attempt: task.attempt, status: isFailing ? 'failed' : 'done', body: task.body, runTime: 1, waitTime: 0,
				};
				this.#reply(agent, endTask(agent.records, result), result);
			});
		}
	}

	#place(agent: SimAgent): void {
		for (;;) {
			const candidates = this.agents.filter(({isAlive, node}) => isAlive && this.#countSent(agent, node) < maxSent);
			const pending = candidates.length === 0 ? undefined : agent.pending.selectTask(() => true);
			if (pending === undefined) {
				return;
			}

			const target = candidates[this.random.getInteger(candidates.length)];
			this.#sendStarts(agent, target.node, [sendTask(agent.home, pending, target.node, this.now)]);
		}
	}

	#countSent(home: SimAgent, node: NodeRef): number {
		return listSentTasks(home.home, node, this.now).length;
	}

	#tick(): void {
		for (const agent of this.agents) {
			if (agent.isAlive && agent.heldEvents === undefined) {
				endOverdueJobs(agent.home, this.now);
				pruneJobs(agent.home, this.now);
				pruneRefusals(agent.home, this.now);
				pruneRecords(agent.records, this.now);
				this.#applyEffects(agent);
				this.#place(agent);
				this.#startQueued(agent);
			}
		}

		this.#schedule(tickMs, () => {
			this.#tick();
		});
	}

	#resend(): void {
		for (const home of this.agents.filter(agent => agent.isAlive && agent.heldEvents === undefined)) {
			for (const {node} of this.agents) {
				const tasks = listSentTasks(home.home, node, this.now);
				if (tasks.length > 0) {
					this.#sendStarts(home, node, tasks);
				}
			}
		}

		this.#schedule(resendMs, () => {
			this.#resend();
		});
	}

	#broadcastDeath(node: NodeRef): void {
		for (const agent of this.agents) {
			if (agent.isAlive && agent.node !== node) {
				this.#deliver(agent, 1 + this.random.getInteger(20), () => {
					settleLostTasks(agent.home, node);
					this.#applyEffects(agent);
				});
			}
		}
	}
}
