/**
 * A fleet of homes and start records under faults: messages lost, doubled, late and out of order,
 * processes killed, restarted and frozen. Drives the same pure logic as the processes.
 */
import assert from 'node:assert/strict';
import {
	acceptTask, dropJob, endTask, getHome, refuseTask, startTask,
} from '../../src/core/execution/logic.ts';
import {createExecutionRecords, pruneRecords, type ExecutionRecords} from '../../src/core/execution/state.ts';
import type {JobIdParts, NodeRef} from '../../src/core/identity/types.ts';
import {
	advanceHome, cancelJob, listSentTasks, queryJob, recordResults, refuseJob, removeAgent, sendTask, submitJob,
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

/** Shares of messages that meet a fault, and delays, in ms. */
export type NetworkFaults = {
	loss: number;
	doubled: number;
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
	/** Events that arrived while the process was frozen; undefined while it runs. */
	frozen: Array<() => void> | undefined;
};

/** A caller with the answers it was told under one id. */
export type SimCaller = {
	readonly id: string;
	readonly parts: JobIdParts;
	readonly request: JobRequest;
	readonly answers: JobAnswer[];
	/** Starts of the job's tasks when the first answer to a cancellation came; undefined without one. */
	startsWhenCancelled: number | undefined;
};

export const homeOptions: HomeOptions = {
	windowMs: 5000, maxClockSkewMs: 500, memoryBytes: 1_000_000, maxJobs: 1000, maxRefusals: 1000, maxPlacements: 3,
};

const slots = 2;
const maxQueue = 3;

/** Tasks that one home sends to one agent before it has their results. */
const maxSent = 4;

const tickMs = 10;
const resendMs = 200;
const encoder = new TextEncoder();

/** Returns the result that task `index` of a job must have. */
export function computeResult(id: string, index: number): string {
	return `${id}#${index}`;
}

/** The simulated fleet. */
export class Simulation {
	now = 1_000_000;
	readonly random: Random;
	readonly faults: NetworkFaults = {loss: 0, doubled: 0, maxDelay: 2};
	readonly agents: SimAgent[] = [];
	readonly callers = new Map<string, SimCaller>();
	/** Starts by job id and task index. */
	readonly ledger = new Map<string, number>();
	/** Tasks fail if their index is in here. */
	readonly failing = new Set<string>();
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

	/** Runs until `duration` ms have passed. */
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

	/** Mints an id at the present time for a home, and the caller that uses it. */
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

	/** Kills an agent; membership tells the others after a while. */
	kill(agent: SimAgent): void {
		agent.isAlive = false;
		agent.frozen = undefined;
		const {node} = agent;
		this.#schedule(300, () => {
			this.#tellDead(node);
		});
	}

	/** Starts a killed agent again under the same name. */
	restart(agent: SimAgent): void {
		const previous = agent.node;
		Object.assign(agent, this.#createAgent(previous.name));
		this.#schedule(50, () => {
			this.#tellDead(previous);
		});
	}

	/** Freezes an agent; the others take it for dead. */
	freeze(agent: SimAgent): void {
		agent.frozen ??= [];
		const {node} = agent;
		this.#schedule(300, () => {
			this.#tellDead(node);
		});
	}

	/** Wakes a frozen agent, which then handles all that arrived meanwhile. */
	wake(agent: SimAgent): void {
		const events = agent.frozen ?? [];
		agent.frozen = undefined;
		for (const run of events) {
			run();
		}
	}

	/** Counts the starts of a job's tasks. */
	countStarts(id: string): number {
		const {length} = this.callers.get(id)!.request.tasks;
		let starts = 0;
		for (let index = 0; index < length; index++) {
			starts += this.ledger.get(computeResult(id, index)) ?? 0;
		}

		return starts;
	}

	/** Asserts what must hold of every job at any time. */
	assertPromises(): void {
		for (const [task, starts] of this.ledger) {
			assert.ok(starts <= 1, `task ${task} started ${starts} times`);
		}

		for (const caller of this.callers.values()) {
			this.#assertAnswers(caller);
		}
	}

	#assertAnswers({id, request, answers, startsWhenCancelled}: SimCaller): void {
		const starts = this.countStarts(id);
		const proved = new Set(answers.map(({outcome}) => outcome).filter(outcome => outcome !== 'unknown'));
		assert.ok(proved.size <= 1, `job ${id} was told ${[...proved].join(' and ')}`);
		for (const answer of answers) {
			if (answer.outcome === 'complete') {
				assert.deepEqual(
					answer.results.map(result => new TextDecoder().decode(result)),
					request.tasks.map((_, index) => computeResult(id, index)),
				);
				assert.equal(starts, request.tasks.length);
			}

			assert.ok(answer.outcome !== 'not-run' || starts === 0, `job ${id} was told not-run and has ${starts} starts`);
			assert.ok(answer.outcome !== 'failed' || starts > 0, `job ${id} was told failed and has no start`);
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
			frozen: undefined,
		};
	}

	#schedule(delay: number, run: () => void): void {
		this.#events.push({at: this.now + delay, order: this.#order++, run});
	}

	/** Runs an event at an agent incarnation after a delay; a frozen one handles it when it wakes. */
	#deliver(agent: SimAgent, delay: number, run: () => void): void {
		const {node} = agent;
		this.#schedule(delay, () => {
			if (!agent.isAlive || agent.node !== node) {
				return;
			}

			if (agent.frozen === undefined) {
				run();
			} else {
				agent.frozen.push(run);
			}
		});
	}

	#transmit(run: (delay: number) => void): void {
		const copies = this.random.getFloat() < this.faults.doubled ? 2 : 1;
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
				this.#handleCall(agent, caller, from, message);
			});
		});
	}

	#handleCall(agent: SimAgent, caller: SimCaller, from: NodeRef, message: PeerMessage): void {
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
			const hasRunning = answer.outcome === 'failed';
			caller.startsWhenCancelled ??= hasRunning ? undefined : this.countStarts(id);
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
			this.ledger.set(key, (this.ledger.get(key) ?? 0) + 1);
			this.#deliver(agent, 1 + this.random.getInteger(this.runTimeMs), () => {
				agent.running--;
				const isFailing = this.failing.has(key);
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
			if (agent.isAlive && agent.frozen === undefined) {
				advanceHome(agent.home, this.now);
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
		for (const home of this.agents.filter(agent => agent.isAlive && agent.frozen === undefined)) {
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

	#tellDead(node: NodeRef): void {
		for (const agent of this.agents) {
			if (agent.isAlive && agent.node !== node) {
				this.#deliver(agent, 1 + this.random.getInteger(20), () => {
					removeAgent(agent.home, node);
					this.#applyEffects(agent);
				});
			}
		}
	}
}
