/**
 * Serves callers' requests at an entry: admits the job by its contract, calls its home and relays the answer.
 */
import {randomBytes} from 'node:crypto';
import {mintJobId, verifyJobId} from '../../core/identity/logic.ts';
import type {IdentityErrorKind} from '../../core/identity/errors.ts';
import type {
	JobId, JobIdParts, NodeName, NodeRef,
} from '../../core/identity/types.ts';
import type {AdmissionError, AdmissionErrorKind} from '../../core/admission/errors.ts';
import type {Contract} from '../../core/contracts/types.ts';
import type {EventFields} from '../../core/timeline/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobReply, JobService, JobSubmission} from '../../ports/jobs.ts';
import type {JobAnswer, JobRequest} from '../../ports/messages.ts';
import type {FleetView} from '../shared/fleet-view.ts';
import type {Node} from '../shared/node.ts';
import type {AdmissionTask} from './admission-task.ts';
import type {CallResult, HomeCalls} from './calls.ts';
import type {KeyedJobs} from './keyed-jobs.ts';
import type {OutcomeCounts} from './outcomes.ts';

const nonceBytes = 6;

/** Time after a job's deadline in which the entry still waits for the home's answer, in ms. */
const answerGraceMs = 250;

const queryTimeoutMs = 2000;
/** Maximum number of homes tried for a new job that none of them has accepted. */
const maxHomeAttempts = 3;

const idErrorStatuses: Record<IdentityErrorKind, number> = {malformed: 400, forged: 404};

/** Maximum number of open calls that report refused job ids to their homes. */
const maxRefusalCalls = 64;

/** Maximum number of completed, and of failed, tasks of one job and agent that count for the agent's health. */
const maxTalliedResults = 3;

const refusalStatuses: Record<AdmissionErrorKind, number> = {
	'unknown-kind': 422,
	deadline: 422,
	'job-tasks': 422,
	'job-bytes': 413,
	'retry-budget': 429,
	'jobs-in-flight': 429,
	'tasks-in-flight': 429,
	rate: 429,
};

/** Dependencies of the service. */
export type JobServiceInput = {
	readonly node: Node;
	readonly fleet: FleetView;
	readonly calls: HomeCalls;
	readonly admission: AdmissionTask;
	readonly outcomes: OutcomeCounts;
	readonly keys: KeyedJobs;
};

function createRefusal(status: number, field: string, message: string): JobReply {
	return {
		type: 'refused', status, field, message,
	};
}

function createAdmissionRefusal({kind, field, message, value, retryAfter}: AdmissionError): JobReply {
	return {
		type: 'refused', status: refusalStatuses[kind], field, message, value: String(value), ...(retryAfter && {retryAfter}),
	};
}

const lostDetails: Record<'home-lost' | 'deadline', string> = {
	'home-lost': 'the home of the job failed',
	deadline: 'the home of the job did not answer in time',
};

function createLostAnswer({reason}: Extract<CallResult, {type: 'lost'}>): JobAnswer {
	return {outcome: 'unknown', reason, detail: lostDetails[reason]};
}

/** Serves callers by calls to the homes of their jobs. */
export class EntryJobService implements JobService {
	readonly #node: Node;
	readonly #fleet: FleetView;
	readonly #calls: HomeCalls;
	readonly #admission: AdmissionTask;
	readonly #outcomes: OutcomeCounts;
	readonly #keys: KeyedJobs;
	/** Jobs sent as a trial to an ejected agent, with the name of the agent. */
	readonly #trials = new Map<JobId, NodeName>();
	#refusalCalls = 0;

	/** @param input - Dependencies. */
	constructor({
		node, fleet, calls, admission, outcomes, keys,
	}: JobServiceInput) {
		this.#keys = keys;
		this.#outcomes = outcomes;
		this.#node = node;
		this.#fleet = fleet;
		this.#calls = calls;
		this.#admission = admission;
	}

	isReady(): boolean {
		return this.#node.contracts.isReady() && this.#fleet.chooseHome() !== undefined;
	}

	mintIds(contract: Contract, count: number): readonly JobId[] {
		const ids: JobId[] = [];
		for (let index = 0; index < count; index++) {
			const minted = this.#mintId(contract);
			if (minted === undefined) {
				return [];
			}

			ids.push(minted.id);
		}

		return ids;
	}

	async submitJob(contract: Contract, id: JobId, submission: JobSubmission): Promise<JobReply> {
		const parts = verifyJobId(this.#node.input.secret, contract.customer, id);
		if (parts.isErr()) {
			return createRefusal(idErrorStatuses[parts.error.kind], 'id', parts.error.message);
		}

		const deadline = this.#computeDeadline(contract, submission);
		this.#recordEvent(contract, id, {type: 'submission', kind: submission.kind, count: submission.tasks.length});
		const startedAt = this.#node.input.clock.getTime();
		const refusal = this.#admission.admitJob(contract, submission, deadline);
		if (refusal !== undefined) {
			this.#recordRefusal(contract, id, submission, refusal);
			return this.#refuseId(contract, id, parts.value.home, refusal, deadline);
		}

		try {
			const result = await this.#submitToHome(contract, id, parts.value.home, submission);
			return this.#recordReply(contract, startedAt, this.#createReply(id, result));
		} finally {
			this.#admission.recordAnswer(contract, submission);
		}
	}

	async submitNewJob(contract: Contract, submission: JobSubmission): Promise<JobReply> {
		const refusal = this.#admission.admitJob(contract, submission, this.#computeDeadline(contract, submission));
		if (refusal !== undefined) {
			this.#recordRefusal(contract, undefined, submission, refusal);
			return createAdmissionRefusal(refusal);
		}

		const startedAt = this.#node.input.clock.getTime();
		try {
			return this.#recordReply(contract, startedAt, await this.#submitToAnyHome(contract, submission));
		} finally {
			this.#admission.recordAnswer(contract, submission);
		}
	}

	async submitKeyedJob(contract: Contract, key: string, submission: JobSubmission): Promise<JobReply> {
		const startedAt = this.#node.input.clock.getTime();
		const found = await this.#keys.findJobId(contract.customer, key);
		if (found.type === 'id') {
			return this.submitJob(contract, found.id, submission);
		}

		return found.type === 'answer' ? this.#recordReply(contract, startedAt, found) : found;
	}

	async queryJob(contract: Contract, id: JobId): Promise<JobReply> {
		return this.#callHomeOf(contract, id, 'query');
	}

	async cancelJob(contract: Contract, id: JobId): Promise<JobReply> {
		return this.#callHomeOf(contract, id, 'cancel');
	}

	/** Submits a job under a new id, and under another one with another home if the home is leaving or was not reached. */
	async #submitToAnyHome(contract: Contract, submission: JobSubmission): Promise<JobReply> {
		for (let attempt = 0; attempt < maxHomeAttempts; attempt++) {
			const trialAgent = submission.tasks.length === 1 ? this.#fleet.health.startTrial() : undefined;
			const minted = this.#mintId(contract, trialAgent);
			if (minted === undefined) {
				break;
			}

			if (trialAgent !== undefined) {
				this.#trials.set(minted.id, trialAgent.name);
			}

			this.#recordEvent(contract, minted.id, {type: 'submission', kind: submission.kind, count: submission.tasks.length});
			const result = await this.#submitToHome(contract, minted.id, minted.parts.home, submission);
			const isUnsent = result.type === 'lost' && !result.isSent;
			const isLeaving = result.type === 'answer' && result.answer.outcome === 'not-run' && result.answer.reason === 'leaving';
			if (!isUnsent && !isLeaving) {
				return this.#createReply(minted.id, result);
			}
		}

		return createRefusal(503, 'job', 'no agent accepts jobs at present');
	}

	/**
	 * Replies to a submission that its contract does not admit. The home of the job id stores the refusal, or replies with the
	 * answer of an earlier submission. If too many of these calls are open or the home is lost, the outcome is `unknown`,
	 * because an earlier submission of the id may have run.
	 */
	async #refuseId(contract: Contract, id: JobId, home: NodeRef, refusal: AdmissionError, deadline: Milliseconds): Promise<JobReply> {
		const unconfirmed: JobAnswer = {
			outcome: 'unknown', reason: 'contract-limit', detail: refusal.message, ...(refusal.retryAfter && {retryAfter: refusal.retryAfter}),
		};
		if (this.#refusalCalls >= maxRefusalCalls) {
			return {type: 'answer', id, answer: unconfirmed};
		}

		this.#refusalCalls++;
		try {
			const message = {
				type: 'refuse', id, customer: contract.customer, detail: refusal.message,
			} as const;
			const result = await this.#calls.callHome(home, message, deadline + answerGraceMs);
			return result.type === 'lost' ? {type: 'answer', id, answer: unconfirmed} : this.#createReply(id, result);
		} finally {
			this.#refusalCalls--;
		}
	}

	async #callHomeOf(contract: Contract, id: JobId, type: 'query' | 'cancel'): Promise<JobReply> {
		const parts = verifyJobId(this.#node.input.secret, contract.customer, id);
		if (parts.isErr()) {
			return createRefusal(idErrorStatuses[parts.error.kind], 'id', parts.error.message);
		}

		const timeout = type === 'query' ? queryTimeoutMs : this.#node.input.settings.limits.maxDeadlineMs;
		const result = await this.#calls.callHome(parts.value.home, {type, id, customer: contract.customer}, timeout);
		return this.#createReply(id, result);
	}

	async #submitToHome(contract: Contract, id: JobId, home: NodeRef, submission: JobSubmission): Promise<CallResult> {
		const deadline = this.#computeDeadline(contract, submission);
		const request: JobRequest = {
			id,
			customer: contract.customer,
			kind: submission.kind,
			deadline,
			idempotent: submission.idempotent,
			digest: submission.digest,
			tasks: submission.tasks,
		};
		const {health} = this.#fleet;
		const trialOf = this.#trials.get(id);
		const message = {
			type: 'submit', request, isTrial: trialOf !== undefined, ejected: health.listEjected().map(({name}) => name),
		} as const;
		// While the call is open the job counts as one outstanding task of its home; `unknown` keeps it out of the run times.
		this.#fleet.recordSent(home, 1);
		this.#recordEvent(contract, id, {
			type: 'home', kind: submission.kind, count: submission.tasks.length, peer: home.name,
		});
		const result = await this.#calls.callHome(home, message, deadline + answerGraceMs);
		this.#fleet.recordEnd(home, {
			customer: contract.customer, kind: submission.kind, status: 'unknown', runTime: 0,
		});
		this.#trials.delete(id);
		this.#recordTallies(contract.customer, submission.kind, result, trialOf);
		return result;
	}

	/** Records task outcomes for agent health; at most a few per job and agent, so that one large job does not outweigh others. */
	#recordTallies(customer: string, kind: string, result: CallResult, trialOf: NodeName | undefined): void {
		if (result.type !== 'answer') {
			return;
		}

		for (const {agent, done, failed} of result.tallies) {
			const member = this.#node.membership.findMember(agent);
			if (member === undefined) {
				continue;
			}

			const statuses = [
				...Array.from({length: Math.min(done, maxTalliedResults)}, () => 'done' as const),
				...Array.from({length: Math.min(failed, maxTalliedResults)}, () => 'failed' as const),
			];
			for (const status of statuses) {
				this.#fleet.health.recordOutcome({
					agent: member.address, customer, kind, status, trial: agent === trialOf,
				});
			}
		}
	}

	#recordEvent(contract: Contract, id: JobId | undefined, fields: Omit<EventFields, 'job' | 'customer'>): void {
		this.#node.timeline.record({...fields, customer: contract.customer, ...(id !== undefined && {job: id})});
	}

	#recordRefusal(contract: Contract, id: JobId | undefined, submission: JobSubmission, {kind, message}: AdmissionError): void {
		this.#outcomes.recordRefusal(contract.customer, kind);
		this.#recordEvent(contract, id, {
			type: 'refusal', kind: submission.kind, count: submission.tasks.length, reason: kind, detail: message,
		});
	}

	#recordReply(contract: Contract, startedAt: Milliseconds, reply: JobReply): JobReply {
		const now = this.#node.input.clock.getTime();
		const answer = reply.type === 'answer' ? reply.answer : undefined;
		const refusal = answer === undefined ? 'not-run no-capacity' : undefined;
		const outcome = answer?.outcome === 'complete' ? 'complete' : refusal ?? `${answer!.outcome} ${(answer!).reason}`;
		this.#outcomes.recordEnd(contract.customer, outcome, now - startedAt, now);
		this.#recordEvent(contract, reply.type === 'refused' ? undefined : reply.id, {type: 'answer', reason: outcome, duration: now - startedAt});
		return reply;
	}

	#computeDeadline(contract: Contract, submission: JobSubmission): Milliseconds {
		return submission.deadline ?? contract.kinds[submission.kind]?.deadlineMs ?? this.#node.input.settings.limits.maxDeadlineMs;
	}

	#mintId(contract: Contract, home: NodeRef | undefined = this.#fleet.chooseHome()): {id: JobId; parts: JobIdParts} | undefined {
		if (home === undefined) {
			return undefined;
		}

		const parts: JobIdParts = {
			home: {name: home.name, incarnation: home.incarnation},
			mintedAt: Math.floor(this.#node.input.clock.getTime()),
			nonce: randomBytes(nonceBytes).toString('hex'),
		};
		return {id: mintJobId(this.#node.input.secret, contract.customer, parts), parts};
	}

	#createReply(id: JobId, result: CallResult): JobReply {
		if (result.type === 'pending') {
			return {type: 'pending', id};
		}

		return {type: 'answer', id, answer: result.type === 'answer' ? result.answer : createLostAnswer(result)};
	}
}
