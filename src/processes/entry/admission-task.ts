/**
 * Enforces customers' contracts at this entry, and exchanges demand summaries with the other entries.
 */
import {admitJob, recordAnswer} from '../../core/admission/logic.ts';
import {
	applySummary, computeSummary, parseSummary, setEntries,
} from '../../core/admission/shares.ts';
import {createAdmission} from '../../core/admission/state.ts';
import type {AdmissionError} from '../../core/admission/errors.ts';
import type {AdmissionState} from '../../core/admission/types.ts';
import type {Contract} from '../../core/contracts/types.ts';
import type {Milliseconds} from '../../ports/clock.ts';
import type {JobSubmission} from '../../ports/jobs.ts';
import type {Member} from '../../ports/membership.ts';
import type {Node} from '../shared/node.ts';

function computeBytes(tasks: readonly Uint8Array[]): number {
	let bytes = 0;
	for (const task of tasks) {
		bytes += task.length;
	}

	return bytes;
}

/**
 * Lists the other entries that membership does not report as dead.
 *
 * @param node - The process.
 * @returns The members.
 */
export function listEntries(node: Node): Member[] {
	return node.membership.listMembers().filter(member => member.address.role === 'entry' && member.status !== 'dead');
}

/** Admission control of one entry. */
export class AdmissionTask implements Disposable {
	readonly #state: AdmissionState;
	readonly #resources: Disposable[];

	/** @param node - The entry. */
	constructor(private readonly node: Node) {
		const {settings, clock} = node.input;
		this.#state = createAdmission({...settings.admission, maxDeadlineMs: settings.limits.maxDeadlineMs}, node.self.name);
		node.setHandler('demand', (_from, message) => {
			this.#handleSummary(message.summary);
		});
		this.#resources = [
			clock.startInterval(settings.admission.exchangeMs, () => {
				this.#sendSummary();
			}),
			node.membership.addListener(() => {
				this.#updateEntries();
			}),
		];
		this.#updateEntries();
	}

	/**
	 * Admits a job, which counts as in flight until `recordAnswer` is called.
	 *
	 * @param contract - The customer's contract.
	 * @param submission - The job.
	 * @param deadline - Time in which the caller wants the answer.
	 * @returns The refusal, or undefined if the job is admitted.
	 */
	admitJob(contract: Contract, submission: JobSubmission, deadline: Milliseconds): AdmissionError | undefined {
		const admitted = admitJob(this.#state, contract, {
			kind: submission.kind,
			tasks: submission.tasks.length,
			bytes: computeBytes(submission.tasks),
			deadline,
			isRetry: submission.isRetry === true,
		}, this.node.input.clock.getTime());
		return admitted.isErr() ? admitted.error : undefined;
	}

	/** Records that an admitted job has been answered. */
	recordAnswer(contract: Contract, submission: JobSubmission): void {
		recordAnswer(this.#state, contract.customer, submission.tasks.length);
	}

	[Symbol.dispose](): void {
		for (const resource of this.#resources) {
			resource[Symbol.dispose]();
		}
	}

	#updateEntries(): void {
		setEntries(this.#state, listEntries(this.node).map(member => member.address.name));
	}

	#sendSummary(): void {
		const summary = computeSummary(this.#state, this.node.input.clock.getTime());
		for (const {address} of listEntries(this.node)) {
			this.node.sendMessage(address, {type: 'demand', summary});
		}
	}

	#handleSummary(value: unknown): void {
		const summary = parseSummary(value);
		if (summary.isOk()) {
			applySummary(this.#state, summary.value, this.node.input.clock.getTime());
		}
	}
}
