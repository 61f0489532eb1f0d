/**
 * What the command `submit` tells of a job that gave no whole answer.
 */
import type {ClientError, ClientErrorKind} from '../../client/errors.ts';
import {exitCodes} from '../exit-codes.ts';

const badInputStatuses: ReadonlySet<number | undefined> = new Set([400, 401, 413, 415, 422]);

const exitCodesByKind: Record<ClientErrorKind, (error: ClientError) => number> = {
	'not-run'(error) {
		if (badInputStatuses.has(error.status)) {
			return exitCodes.badInput;
		}

		return error.status === undefined ? exitCodes.unreachable : exitCodes.failed;
	},
	failed: () => exitCodes.failed,
	unknown: () => exitCodes.unknown,
};

/**
 * Returns the exit code of a job that gave no whole answer.
 *
 * @param error - What is known of the job.
 * @returns The exit code.
 */
export function getSubmitExitCode(error: ClientError): number {
	return exitCodesByKind[error.kind](error);
}

const factsByKind: Record<ClientErrorKind, string> = {
	'not-run': 'no task of the job ran or will run',
	failed: 'some task ran, and the job cannot complete',
	unknown: 'some task may have run',
};

function describeAdvice({kind, id, retryAfterMs, status, reason}: ClientError): string | undefined {
	if (kind === 'unknown') {
		return id === undefined ? 'look at the time line before you submit it again' : `ask again without a second start: --id ${id}`;
	}

	if (kind === 'failed') {
		return id === undefined ? undefined : `see why: medlardale timeline --job ${id} --explain`;
	}

	if (status === 401) {
		return 'give a token of the customer\'s contract by --token-file or --token';
	}

	if (status === undefined) {
		return 'check --entry and whether the entries run';
	}

	if (reason === 'contract-limit') {
		return retryAfterMs === undefined ? 'the operator can change the contract' : `submit it again after ${retryAfterMs} ms`;
	}

	return retryAfterMs === undefined ? undefined : `submit it again after ${retryAfterMs} ms`;
}

/**
 * Describes a job that gave no whole answer: what is known, why, and what can be done.
 *
 * @param error - What is known of the job.
 * @returns Lines of text.
 */
export function describeSubmitError(error: ClientError): readonly string[] {
	const {kind, reason, message, id} = error;
	const name = id === undefined ? 'the job' : `job ${id}`;
	const advice = describeAdvice(error);
	return [
		`${name}: ${kind} (${reason}): ${message}`,
		factsByKind[kind],
		...(advice === undefined ? [] : [advice]),
	];
}
