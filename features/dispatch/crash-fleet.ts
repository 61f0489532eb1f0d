/**
 * Entries, agents and workers in simulated time, for tasks that crash the worker that starts them.
 */
import {computeTimings} from '../../src/core/bounds/logic.ts';
import {listCarefulRoutes} from '../../src/core/crashes/logic.ts';
import {handleGrantRequests, listClaims} from '../../src/core/dispatch/agents.ts';
import {
	advanceDispatch, placeAllWaitingTasks, submitJob,
} from '../../src/core/dispatch/logic.ts';
import {applyReports, handleCrashes, handleSurvival} from '../../src/core/dispatch/reports.ts';
import {extendOffers} from '../../src/core/dispatch/placing.ts';
import {createDispatchState, type DispatchState} from '../../src/core/dispatch/state.ts';
import {addPendingWithdrawals} from '../../src/core/dispatch/withdrawals.ts';
import type {AgentEffect, DispatchEffect, JobAnswer} from '../../src/core/dispatch/types.ts';
import {addAgent, applyLoad, createFleetState} from '../../src/core/fleet/state.ts';
import {addToGroup} from '../../src/core/groups.ts';
import type {Route} from '../../src/core/routes/types.ts';
import {applyStartAnswer, applyStopAnswer} from '../../src/core/runs/answers.ts';
import {listRecentCrashes} from '../../src/core/runs/crashes.ts';
import {
	advanceRuns, applyRenewalFailure, computeLoad, handleAnnouncement,
} from '../../src/core/runs/logic.ts';
import {findSurvivor, settleMs} from '../../src/core/runs/isolation.ts';
import {recordStartSent, startQueued} from '../../src/core/runs/orders.ts';
import {handleClaim} from '../../src/core/runs/claims.ts';
import {recordOwnerContact} from '../../src/core/runs/owner-contact.ts';
import {handleGrant, handleOffers, handleWithdrawal} from '../../src/core/runs/owners.ts';
import {applySnapshot} from '../../src/core/runs/snapshots.ts';
import {createRunsState, getJobId, type RunsState} from '../../src/core/runs/state.ts';
import type {RunsEffect} from '../../src/core/runs/types.ts';
import type {TaskCrash} from '../../src/ports/dispatch-messages.ts';
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {EndedTask, RunEnd, RunRef} from '../../src/ports/worker.ts';

const timings = computeTimings({
	maxLeaseMs: 1000, stopMs: 50, resubmitMs: 1300, graceSeconds: 6, configurationMs: 2000, remoteFactor: 1.5,
});

const messageMs = 1;
const tickMs = 50;

/** Time between heartbeats of a worker. */
const heartbeatMs = 1000;

/** Time from the start of a deadly task to the crash, and until the worker is back. */
export const fuseMs = 10;
const outageMs = 3000;

const capacity = {cpu: 32_000, memory: 10_000, accelerators: 0};
const taskCpu = 3000;

type Worker = {
	bornAt: Milliseconds;
	isUp: boolean;
	readonly running: Map<string, {readonly run: number; readonly startedAt: Milliseconds; readonly runMs: Milliseconds}>;
	ended: EndedTask[];
	sequence: number;
	heartbeatAt: Milliseconds;
};

type Agent = {readonly name: string; readonly state: RunsState; readonly worker: Worker; readonly seenOffers: Map<string, number>};

type Entry = {readonly name: string; state: DispatchState; isUp: boolean};

/** A job of the load. */
export type JobPlan = {
	readonly id: string;
	readonly route: string;
	readonly tasks: number;
	readonly runMs: Milliseconds;
	/** Position of the task that crashes its worker; undefined for none. */
	readonly deadly?: number;
};

/** A fleet with one target. */
export class CrashFleet {
	now: Milliseconds = 10_000;
	/** Answers by job, with the time since its last submission. */
	readonly answers = new Map<string, Array<JobAnswer & {readonly ms: Milliseconds}>>();
	/** Crashes by the task that caused them. */
	readonly crashes = new Map<string, number>();
	/** Number of starts of each task. */
	readonly starts = new Map<string, number>();
	readonly entries: Entry[];
	readonly agents: Agent[];
	readonly #events: Array<{readonly at: Milliseconds; readonly run: () => void}> = [];
	/** Crashes, whatever their cause, during runs of each task. */
	readonly #crashesUnder = new Map<string, number>();
	/** Entry of the last submission of each job, its state and the number of answers then. */
	readonly #lastEntries = new Map<string, {readonly entry: Entry; readonly state: DispatchState; readonly answers: number}>();
	readonly #plans = new Map<string, JobPlan & {readonly at: Milliseconds}>();

	/**
	 * @param agentCount - Number of agents, each with a worker.
	 * @param entryCount - Number of entries.
	 */
	constructor(agentCount: number, entryCount: number) {
		this.entries = Array.from({length: entryCount}, (_, index) => ({name: `e${index}`, state: this.#createEntryState(), isUp: true}));
		this.agents = Array.from({length: agentCount}, (_, index) => ({
			name: `a${index}`,
			state: createRunsState({timings, fencingToken: 1}),
			worker: {
				bornAt: this.now, isUp: true, running: new Map(), ended: [], sequence: 0, heartbeatAt: 0,
			},
			seenOffers: new Map(),
		}));
		for (const agent of this.agents) {
			for (const entry of this.entries) {
				this.#connect(entry, agent);
			}

			this.#announce(agent);
		}

		this.#tick();
	}

	/** Submits a job to an entry after a delay. */
	submit(plan: JobPlan, entryIndex: number, delay: Milliseconds): void {
		this.#schedule(delay, () => {
			const entry = this.entries[entryIndex];
			if (!entry.isUp) {
				return;
			}

			this.#plans.set(plan.id, {...plan, at: this.now});
			this.#lastEntries.set(plan.id, {entry, state: entry.state, answers: this.#countAnswers(plan.id)});
			const step = {
				count: plan.tasks, needs: {cpu: taskCpu, memory: 1, accelerators: 0}, estimateMs: plan.runMs, after: [], label: '', dataRack: '', maxPerWorker: 0,
			};
			const {effects} = submitJob(entry.state, {
				route: this.#createRoute(plan.route), timeLimitMs: 3000, submission: {
					id: plan.id, spec: '', steps: [step], unsupported: '',
				},
			}, this.now);
			this.#runDispatch(entry, effects);
		});
	}

	/** Submits a job again. */
	resubmit(id: string, entryIndex: number, delay: Milliseconds): void {
		this.#schedule(delay, () => {
			this.submit(this.#plans.get(id)!, entryIndex, 0);
		});
	}

	/** Lists the jobs without an answer whose last entry has not been restarted since. */
	listUnanswered(): readonly string[] {
		return [...this.#lastEntries].filter(([id, {entry, state, answers}]) => entry.state === state && this.#countAnswers(id) === answers).map(([id]) => id);
	}

	/** Counts the crashes, whatever their cause, under the task of a job that saw most of them. */
	countCrashesUnder(id: string): number {
		return Math.max(0, ...[...this.#crashesUnder].filter(([task]) => getJobId(task) === id).map(([, count]) => count));
	}

	/** Lists the routes in quarantine at each entry. */
	listQuarantinedRoutes(): readonly string[] {
		return this.entries.map(({state}) => listCarefulRoutes(state.crashes, this.now).join(' '));
	}

	/** Kills an entry after a delay; its successor starts without its state. */
	restartEntry(index: number, delay: Milliseconds): void {
		this.#schedule(delay, () => {
			const entry = this.entries[index];
			entry.state = this.#createEntryState();
			for (const agent of this.agents) {
				this.#connect(entry, agent);
				this.#sendLoad(agent, entry);
			}
		});
	}

	/** Ends the process of a worker from outside after a delay. */
	killWorker(index: number, delay: Milliseconds): void {
		this.#schedule(delay, () => {
			if (this.agents[index].worker.isUp) {
				this.#crash(this.agents[index]);
			}
		});
	}

	/** Lets time pass. */
	run(time: Milliseconds): void {
		const endAt = this.now + time;
		while (this.#events.length > 0 && this.#events[0].at <= endAt) {
			const {at, run} = this.#events.shift()!;
			this.now = at;
			run();
		}

		this.now = endAt;
	}

	#countAnswers(id: string): number {
		return this.answers.get(id)?.length ?? 0;
	}

	#createEntryState(): DispatchState {
		const state = createDispatchState(createFleetState({dataCentre: 'dc', remoteFactor: 1}), timings, {name: 'e1', incarnation: 1});
		state.agentCount = this.agents?.length ?? 0;
		return state;
	}

	#createRoute(name: string): Route {
		return {
			name, host: 'h', prefix: `/${name}/`, target: 'desk', priority: 1, maxAttempts: 3, slackFactor: 1.6, targetMs: 60, timeoutMs: 0, needsApproval: false,
		};
	}

	#schedule(delay: Milliseconds, run: () => void): void {
		const at = this.now + delay;
		let position = this.#events.length;
		while (position > 0 && this.#events[position - 1].at > at) {
			position--;
		}

		this.#events.splice(position, 0, {at, run});
	}

	#connect(entry: Entry, agent: Agent): void {
		agent.seenOffers.set(entry.name, 0);
		addAgent(entry.state.fleet, {name: agent.name, incarnation: 1}, 'dc');
		this.#runAgent(agent, handleClaim(agent.state, entry.name, listClaims(entry.state, agent.name), this.now));
		this.#sendCrashes(agent, entry, listRecentCrashes(agent.state, this.now));
	}

	#sendHeartbeat(agent: Agent): void {
		const {name, state, worker} = agent;
		worker.sequence++;
		worker.heartbeatAt = this.now;
		this.#runAgent(agent, handleAnnouncement(state, {
			id: name, target: 'desk', address: '', state: 'ready', capacity, labels: [], sequence: worker.sequence, bornAt: worker.bornAt,
		}, this.now));
	}

	#announce(agent: Agent): void {
		this.#readSnapshot(agent);
		this.#sendHeartbeat(agent);
		for (const entry of this.entries) {
			this.#sendLoad(agent, entry);
		}
	}

	#tick(): void {
		for (const agent of this.agents) {
			for (const entry of this.entries) {
				recordOwnerContact(agent.state, entry.name, this.now);
			}

			if (agent.worker.isUp && this.now - agent.worker.heartbeatAt >= heartbeatMs) {
				this.#sendHeartbeat(agent);
			}

			this.#runAgent(agent, advanceRuns(agent.state, this.now));
			this.#readSnapshot(agent);
			for (const entry of this.entries) {
				this.#sendLoad(agent, entry);
			}
		}

		for (const entry of this.entries) {
			this.#runDispatch(entry, advanceDispatch(entry.state, this.now));
		}

		this.#schedule(tickMs, () => {
			this.#tick();
		});
	}

	#readSnapshot(agent: Agent): void {
		const {worker, state} = agent;
		if (!worker.isUp) {
			return;
		}

		const running = [...worker.running].map(([task, {run, startedAt, runMs}]) => ({task, run, percent: Math.min(99, (this.now - startedAt) * 100 / runMs)}));
		this.#runAgent(agent, applySnapshot(state, {
			running, ended: worker.ended, workerTime: this.now - worker.bornAt, bornAt: worker.bornAt,
		}, this.now, this.now));
	}

	#endRun(agent: Agent, task: string, end: RunEnd): void {
		const {worker} = agent;
		const {run} = worker.running.get(task)!;
		worker.running.delete(task);
		worker.ended.push({
			task, run, end, position: worker.ended.length + 1,
		});
		this.#readSnapshot(agent);
	}

	#crash(agent: Agent): void {
		const {worker} = agent;
		worker.isUp = false;
		for (const task of worker.running.keys()) {
			this.#crashesUnder.set(task, (this.#crashesUnder.get(task) ?? 0) + 1);
		}

		worker.running.clear();
		worker.ended = [];
		this.#runAgent(agent, applyRenewalFailure(agent.state, 'unreachable', this.now, {wait: 0, fencingToken: agent.state.fencingToken}));
		this.#schedule(outageMs, () => {
			worker.isUp = true;
			worker.bornAt = this.now;
			this.#announce(agent);
		});
	}

	#startTask(agent: Agent, {record, fencingToken}: Extract<RunsEffect, {type: 'start'}>): void {
		if (!recordStartSent(agent.state, record, this.now)) {
			return;
		}

		const {worker} = agent;
		const ref = {task: record.offer.task, run: record.run};
		if (!worker.isUp) {
			this.#runAgent(agent, applyStartAnswer(agent.state, {...ref, fencingToken}, 'refused', this.now));
			return;
		}

		const plan = this.#plans.get(getJobId(ref.task))!;
		const position = Number(ref.task.split('.').at(-1));
		const {bornAt} = worker;
		worker.running.set(ref.task, {run: ref.run, startedAt: this.now, runMs: plan.runMs});
		this.starts.set(ref.task, (this.starts.get(ref.task) ?? 0) + 1);
		const isDeadly = plan.deadly === position;
		this.#schedule(isDeadly ? fuseMs : plan.runMs, () => {
			if (!worker.isUp || worker.bornAt !== bornAt || worker.running.get(ref.task)?.run !== ref.run) {
				return;
			}

			if (isDeadly) {
				this.crashes.set(ref.task, (this.crashes.get(ref.task) ?? 0) + 1);
				this.#crash(agent);
			} else {
				this.#endRun(agent, ref.task, 'done');
			}
		});
		this.#runAgent(agent, applyStartAnswer(agent.state, {...ref, fencingToken}, 'started', this.now));
		if (record.offer.isolation !== undefined) {
			this.#watchIsolatedRun(agent, ref);
		}
	}

	#sendLoad(agent: Agent, entry: Entry, effects: () => readonly DispatchEffect[] = () => []): void {
		const load = computeLoad(agent.state, this.now);
		const seen = agent.seenOffers.get(entry.name) ?? 0;
		this.#send(entry, () => {
			applyLoad(entry.state.fleet, agent.name, load, seen);
			this.#runDispatch(entry, [...effects(), ...placeAllWaitingTasks(entry.state, this.now), ...extendOffers(entry.state, agent.name)]);
		});
	}

	/** Sends a message to an entry, unless that is replaced before it arrives. */
	#send(entry: Entry, handle: () => void): void {
		const {state} = entry;
		this.#schedule(messageMs, () => {
			if (entry.state === state) {
				handle();
			}
		});
	}

	/** Tells the entry, as the process does, once an isolated run has survived the time after its start. */
	#watchIsolatedRun(agent: Agent, ref: RunRef): void {
		this.#schedule(settleMs, () => {
			const record = findSurvivor(agent.state, ref, this.now);
			if (record !== undefined) {
				const entry = this.#getEntry(record.owner);
				this.#send(entry, () => {
					this.#runDispatch(entry, handleSurvival(entry.state, agent.name, [ref.task], this.now));
				});
			}

			this.#runAgent(agent, startQueued(agent.state, this.now));
		});
	}

	#sendCrashes(agent: Agent, entry: Entry, crashes: readonly TaskCrash[]): void {
		this.#send(entry, () => {
			this.#runDispatch(entry, handleCrashes(entry.state, agent.name, crashes, this.now));
		});
	}

	#getEntry(name: string): Entry {
		return this.entries.find(entry => entry.name === name)!;
	}

	#runAgent(agent: Agent, effects: readonly RunsEffect[]): void {
		const handlers: {readonly [Type in RunsEffect['type']]: (effect: Extract<RunsEffect, {type: Type}>) => void} = {
			start: effect => {
				this.#startTask(agent, effect);
			},
			stop: ({ref, fencingToken}) => {
				if (agent.worker.running.has(ref.task)) {
					this.#endRun(agent, ref.task, 'stopped');
				}

				this.#runAgent(agent, applyStopAnswer(agent.state, {...ref, fencingToken}, 'stopped', this.now));
			},
			report: ({owner, reports}) => {
				const entry = this.#getEntry(owner);
				this.#sendLoad(agent, entry, () => applyReports(entry.state, agent.name, reports, this.now));
				const crashes = reports.flatMap(({task, run, crash}) => crash === undefined ? [] : [{task, run, ...crash}]);
				for (const other of this.entries) {
					if (other !== entry) {
						this.#sendCrashes(agent, other, crashes);
					}
				}
			},
			ask: ({owner, task}) => {
				const entry = this.#getEntry(owner);
				this.#send(entry, () => {
					this.#runDispatch(entry, handleGrantRequests(entry.state, agent.name, [task], this.now));
				});
			},
			crashes: ({crashes}) => {
				for (const entry of this.entries) {
					this.#sendCrashes(agent, entry, crashes);
				}
			},
			'fetch-snapshot'() {
				// Read at each tick.
			},
			log() {
				// Not looked at.
			},
		};
		for (const effect of effects) {
			(handlers[effect.type] as (effect: RunsEffect) => void)(effect);
		}
	}

	#runDispatch(entry: Entry, effects: readonly DispatchEffect[]): void {
		for (const effect of addPendingWithdrawals(entry.state, effects)) {
			if (effect.type === 'answer') {
				const {id} = effect.job;
				addToGroup(this.answers, id, {...effect.answer, ms: this.now - this.#plans.get(id)!.at});
				continue;
			}

			if (!('agent' in effect)) {
				continue;
			}

			const agent = this.agents.find(({name}) => name === effect.agent)!;
			this.#schedule(messageMs, () => {
				this.#runAgent(agent, this.#handleAtAgent(agent, entry, effect));
			});
		}
	}

	#handleAtAgent(agent: Agent, entry: Entry, effect: AgentEffect): RunsEffect[] {
		if (effect.type === 'offer') {
			agent.seenOffers.set(entry.name, (agent.seenOffers.get(entry.name) ?? 0) + effect.tasks.length);
			return handleOffers(agent.state, entry.name, effect.tasks, this.now);
		}

		const handle = effect.type === 'withdraw' ? handleWithdrawal : handleGrant;
		return handle(agent.state, entry.name, effect.tasks, this.now);
	}
}
