/**
 * Exit codes and messages of the command `submit` for a job that did not complete.
 */
import type {ClientError, ClientErrorKind} from '../../client/errors.ts';
import {exitCodes} from '../exit-codes.ts';

/** HTTP statuses with which an entry refuses an invalid request. */
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
 * Returns the exit code for a job that did not complete.
 *
 * @param error - Why it did not, and whether it may have run.
 * @returns The exit code.
 */
export function getSubmitExitCode(error: ClientError): number {
	return exitCodesByKind[error.kind](error);
}

const effectsByKind: Record<ClientErrorKind, string> = {
	'not-run': 'no task of the job ran or will run',
	failed: 'some task ran, and the job cannot complete',
	unknown: 'some task may have run',
};

function describeAdvice({kind, id, retryAfterMs, status, reason}: ClientError): string | undefined {
	if (kind === 'unknown') {
		return id === undefined ? 'check the timeline before submitting it again' : `to get the answer without starting the tasks a second time, submit it again with --id ${id}`;
	}

	if (kind === 'failed') {
		return id === undefined ? undefined : `for the reason, run: medlardale timeline --job ${id} --explain`;
	}

	if (status === 401) {
		return 'pass a token of the customer\'s contract with --token-file or --token';
	}

	if (status === undefined) {
		return 'check the addresses in --entry, and that the entries are running';
	}

	if (reason === 'contract-limit') {
		return retryAfterMs === undefined ? 'the operator can change the contract' : `submit it again after ${retryAfterMs} ms`;
	}

	return retryAfterMs === undefined ? undefined : `submit it again after ${retryAfterMs} ms`;
}

/**
 * Describes a job that did not complete: the reason, whether its tasks ran, and what the caller can do.
 *
 * @param error - Why it did not, and whether it may have run.
 * @returns Lines of text.
 */
export function describeSubmitError(error: ClientError): readonly string[] {
	const {kind, reason, message, id} = error;
	const name = id === undefined ? 'the job' : `job ${id}`;
	const advice = describeAdvice(error);
	return [
		`${name}: ${kind} (${reason}): ${message}`,
		effectsByKind[kind],
		...(advice === undefined ? [] : [advice]),
	];
}
