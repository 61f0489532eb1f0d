/**
 * Home of jobs: accepts submissions from entries, places their tasks on agents, collects results and stores answers.
 */
import {verifyJobId} from '../../core/identity/logic.ts';
import type {JobId, JobIdParts, NodeRef} from '../../core/identity/types.ts';
import {
	endOverdueJobs, cancelJob, listSentTasks, queryJob, recordResults, refuseJob, settleLostTasks, submitJob,
} from '../../core/outcome/logic.ts';
import {
	createHome, pruneJobs, pruneRefusals, takeEffects, type HomeState,
} from '../../core/outcome/state.ts';
import type {
	HomeEffect, JobCall, JobRecord, Refusal,
} from '../../core/outcome/types.ts';
import type {Clock, Timer} from '../../ports/clock.ts';
import type {MemberChange} from '../../ports/membership.ts';
import type {
	JobAnswer, JobRequest, PeerMessage, TaskResult, TaskTally,
} from '../../ports/messages.ts';
import type {HomeReport} from '../../ports/control.ts';
import type {Metric} from '../../ports/metrics.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';
import type {ExecutionTask} from './execution-task.ts';
import {TaskPlacer} from './task-placer.ts';

const deadlineCheckIntervalMs = 5;
const pruneIntervalMs = 1000;

const leavingAnswer: JobAnswer = {outcome: 'not-run', reason: 'leaving', detail: 'the home is shutting down'};

const forgedAnswer: JobAnswer = {outcome: 'not-run', reason: 'contract-limit', detail: 'the job id was not minted for this customer'};

type EffectHandlers = {[Type in HomeEffect['type']]: (effect: Extract<HomeEffect, {type: Type}>) => void};

/** Maximum number of agents whose task counts are sent with an answer. */
const maxTalliedAgents = 32;

/** Dependencies of the home task. */
export type HomeInput = {
	readonly node: Node;
	readonly fleet: FleetView;
	readonly execution: ExecutionTask;
};

/** The home of the jobs whose ids name this process. */
export class HomeTask implements AsyncDisposable {
	readonly state: HomeState;
	readonly #node: Node;
	readonly #fleet: FleetView;
	readonly #execution: ExecutionTask;
	readonly #clock: Clock;
	readonly #placer: TaskPlacer;
	readonly #resources: Disposable[] = [];
	readonly #idleWaiters: Array<() => void> = [];
	#isLeaving = false;
	/** Task counts per agent of the jobs answered by the effects that are being applied. */
	readonly #answerTallies = new Map<JobId, readonly TaskTally[]>();
	#deadlineTimer: Timer | undefined;

	readonly #effectHandlers: EffectHandlers = {
		reply: ({to, id, answer}) => {
			this.#sendAnswer(to, id, answer, this.#answerTallies.get(id));
		},
		pending: ({to, id}) => {
			this.#node.sendMessage(to, {type: 'pending', id});
		},
		drop: ({to, job}) => {
			this.#node.sendMessage(to, {type: 'drop', jobs: [{id: job.id, mintedAt: job.mintedAt}]});
		},
		queued: ({job}) => {
			this.#placer.addJob(job);
		},
		answered: ({job, answer, tallies}) => {
			this.#answerTallies.set(job.id, tallies.slice(0, maxTalliedAgents));
			this.#recordAnswerEvent(job, answer);
			this.#resolveIdleWaiters();
		},
	};

	/** @param input - Dependencies. */
	constructor({node, fleet, execution}: HomeInput) {
		const {settings, clock} = node.input;
		this.#node = node;
		this.#fleet = fleet;
		this.#execution = execution;
		this.#clock = clock;
		this.state = createHome(node.self, settings.home);
		this.#placer = new TaskPlacer({
			node, fleet, state: this.state, getLoad: () => execution.getLoad(),
		});
		this.#setHandlers();
		this.#resources.push(
			clock.startInterval(pruneIntervalMs, () => {
				pruneJobs(this.state, clock.getTime());
				pruneRefusals(this.state, clock.getTime());
			}),
			node.membership.addListener(change => {
				this.#handleMemberChange(change);
			}),
		);
	}

	/** Refuses new jobs from now on; submissions of existing ones are still answered. */
	startLeaving(): void {
		this.#isLeaving = true;
	}

	/** Resolves once every job is answered. */
	async waitIdle(): Promise<void> {
		if (this.state.openJobs.size === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#idleWaiters.push(resolve);
		});
	}

	/** Returns the numbers of jobs and tasks and the memory estimate for the status. */
	getReport(): HomeReport {
		const {jobs, openJobs, bytes} = this.state;
		return {
			openJobs: openJobs.size, keptAnswers: jobs.size - openJobs.size, pendingTasks: this.#placer.countTasks(), bytes,
		};
	}

	/** Lists the metrics of the home. */
	listMetrics(): Metric[] {
		const {jobs, openJobs, refusals, bytes} = this.state;
		return [
			{
				name: 'medlardale_home_jobs',
				help: 'Jobs at this home',
				type: 'gauge',
				samples: [
					{labels: {state: 'open'}, value: openJobs.size},
					{labels: {state: 'answered'}, value: jobs.size - openJobs.size},
					{labels: {state: 'refused'}, value: refusals.size},
				],
			},
			{
				name: 'medlardale_home_bytes', help: 'Memory accounted to jobs and kept answers', type: 'gauge', samples: [{labels: {}, value: bytes}],
			},
			{
				name: 'medlardale_home_pending_tasks', help: 'Tasks that wait to be placed', type: 'gauge', samples: [{labels: {}, value: this.#placer.countTasks()}],
			},
		];
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#deadlineTimer?.[Symbol.dispose]();
		for (const resource of this.#resources) {
			resource[Symbol.dispose]();
		}
	}

	#setHandlers(): void {
		const node = this.#node;
		node.setHandler('submit', (from, {request, isTrial, ejected}) => {
			this.#fleet.health.setReportedEjections(from.name, ejected);
			this.#handleSubmit(from, request, isTrial);
		});
		node.setHandler('query', (from, message) => {
			this.#handleCall(from, message, queryJob);
		});
		node.setHandler('cancel', (from, message) => {
			this.#handleCall(from, message, cancelJob);
		});
		node.setHandler('refuse', (from, message) => {
			const answer: Refusal = {outcome: 'not-run', reason: 'contract-limit', detail: message.detail};
			this.#handleCall(from, message, (state, call, now) => {
				refuseJob(state, call, answer, now);
			});
		});
		node.setHandler('result', (from, message) => {
			this.#handleResult(from, message);
		});
		node.addStreamListener({
			onOpen: peer => {
				this.#resendTasks(peer);
				this.#placer.schedulePlacing();
			},
		});
	}

	#verifyId(id: string, customer: string): JobIdParts | undefined {
		const parts = verifyJobId(this.#node.input.secret, customer, id);
		return parts.isOk() ? parts.value : undefined;
	}

	#handleSubmit(from: NodeRef, request: JobRequest, isTrial: boolean): void {
		const parts = this.#verifyId(request.id, request.customer);
		const isKnown = this.state.jobs.has(request.id);
		if (parts === undefined || (this.#isLeaving && !isKnown)) {
			this.#sendAnswer(from, request.id, parts === undefined ? forgedAnswer : leavingAnswer);
			return;
		}

		submitJob(this.state, {request, from, ...parts}, this.#clock.getTime());
		this.#applyEffects();
		// The entry has sent the job to try the health of this agent, so a task must run here.
		if (isTrial) {
			this.#placer.startTrial(this.#node.self);
		}
	}

	#handleCall(
		from: NodeRef,
		{id, customer}: {readonly id: string; readonly customer: string},
		apply: (state: HomeState, call: JobCall, now: number) => void,
	): void {
		const parts = this.#verifyId(id, customer);
		if (parts === undefined) {
			this.#sendAnswer(from, id, forgedAnswer);
			return;
		}

		apply(this.state, {
			id, customer, parts, from,
		}, this.#clock.getTime());
		this.#applyEffects();
	}

	#handleResult(from: NodeRef, message: Extract<PeerMessage, {type: 'result'}>): void {
		for (const result of message.results) {
			this.#recordTaskEnd(from, result);
		}

		this.#fleet.recordLoad(from, message.load, 'result');

		recordResults(this.state, from, message.results);
		this.#applyEffects();
		this.#placer.schedulePlacing();
	}

	#recordAnswerEvent(job: JobRecord, answer: JobAnswer): void {
		const {id, customer, kind} = job;
		const failure = answer.outcome === 'complete' ? undefined : {reason: `${answer.outcome} ${answer.reason}`, detail: answer.detail};
		this.#node.timeline.record({
			type: 'answer', job: id, customer, kind, ...failure ?? {reason: 'complete'},
		});
	}

	/** Records the end of a task for placement, agent health and the timeline. */
	#recordTaskEnd(from: NodeRef, result: TaskResult): void {
		const job = this.state.jobs.get(result.job);
		if (job === undefined) {
			return;
		}

		this.#fleet.recordEnd(from, {
			customer: job.customer,
			kind: job.kind,
			status: result.status,
			...(result.reason && {reason: result.reason}),
			runTime: result.runTime,
		});
		this.#fleet.health.recordOutcome({
			agent: from, customer: job.customer, kind: job.kind, status: result.status, trial: this.#placer.removeTrial(job.id, result.index),
		});
		if (result.status === 'not-started') {
			this.#placer.suspendBypass(job.customer);
			this.#node.timeline.record({
				type: 'retry', job: job.id, customer: job.customer, task: result.index, peer: from.name, reason: result.reason ?? 'not-started',
			});
		}
	}

	#handleMemberChange({member, previous}: MemberChange): void {
		const hasRestarted = previous !== undefined && previous.address.incarnation !== member.address.incarnation;
		if (hasRestarted) {
			settleLostTasks(this.state, previous.address);
		}

		if (member.status === 'dead') {
			settleLostTasks(this.state, member.address);
		}

		this.#applyEffects();
		this.#placer.schedulePlacing();
	}

	/** Sends the unsettled tasks of an agent again after its stream has opened; its start records prevent a second start. */
	#resendTasks(agent: NodeRef): void {
		const tasks = listSentTasks(this.state, agent, this.#clock.getTime());
		if (tasks.length > 0) {
			this.#node.sendMessage(agent, {type: 'start', tasks});
		}
	}

	#applyEffects(): void {
		for (const effect of takeEffects(this.state)) {
			(this.#effectHandlers[effect.type] as (effect: HomeEffect) => void)(effect);
		}

		this.#answerTallies.clear();
		this.#updateDeadlineTimer();
	}

	/** Runs the timer that ends overdue jobs and places pending tasks, but only while there are open jobs. */
	#updateDeadlineTimer(): void {
		if (this.state.openJobs.size === 0) {
			this.#deadlineTimer?.[Symbol.dispose]();
			this.#deadlineTimer = undefined;
			return;
		}

		this.#deadlineTimer ??= this.#clock.startInterval(deadlineCheckIntervalMs, () => {
			endOverdueJobs(this.state, this.#clock.getTime());
			this.#applyEffects();
			this.#placer.placeTasks();
		});
	}

	#sendAnswer(to: NodeRef, id: JobId, answer: JobAnswer, tallies: readonly TaskTally[] = []): void {
		const load = this.#execution.getLoad();
		this.#node.sendMessage(to, {
			type: 'answer', id, answer, load, tallies,
		});
		this.#execution.recordSentLoad(to, load);
	}

	/** Resolves the calls of `waitIdle` if no job is open. */
	#resolveIdleWaiters(): void {
		if (this.state.openJobs.size > 0) {
			return;
		}

		for (const resolve of this.#idleWaiters.splice(0)) {
			resolve();
		}
	}
}
