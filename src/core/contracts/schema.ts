/**
 * Schemas of a contract and of the document that holds all contracts.
 *
 * A contract from an operator is checked strictly: an unknown key is an error. A stored document may
 * have unknown keys, so that a process can serve a document that a newer release wrote.
 */
import * as z from 'zod';
import {urgencies} from './types.ts';

/** Upper bound of `maxTasksPerJob` in a contract. */
export const maxTasksPerJob = 760;

const maxDeadlineMs = 60_000;
const maxKinds = 64;
const maxTokens = 16;
const namePattern = /^[a-z\d][a-z\d.-]{0,62}$/;
const nameRule = 'must be 1 to 63 lower-case letters, digits, dots or hyphens, and begin with a letter or a digit';

const name = z.string().regex(namePattern, nameRule);

const kindShape = {
	urgency: z.enum(urgencies).default('normal')
		.describe('Priority of the kind among the kinds of its customer.'),
	deadlineMs: z.int().min(10).max(maxDeadlineMs).default(5000)
		.describe('Default deadline of a job, in ms.'),
};

const limitShape = {
	customer: name
		.describe('Name of the customer; the contract is kept under this name.'),
	tokenDigests: z.array(z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest of 64 lower-case hexadecimal digits'))
		.max(maxTokens).default([])
		.describe('SHA-256 digests of the customer\'s bearer tokens; an empty list accepts no token.'),
	weight: z.number().min(0.001).max(1_000_000).default(1)
		.describe('Share of an overloaded fleet, relative to other contracts.'),
	rate: z.number().min(0.1).max(10_000_000).default(1000)
		.describe('Maximum mean rate, in tasks per second, over all entries.'),
	burst: z.int().min(1).max(10_000_000).default(2000)
		.describe('Number of tasks that may be submitted at once above the mean rate; at least maxTasksPerJob.'),
	maxJobsInFlight: z.int().min(1).max(1_000_000).default(1000)
		.describe('Maximum number of unanswered jobs.'),
	maxTasksInFlight: z.int().min(1).max(10_000_000).default(10_000)
		.describe('Maximum number of tasks of unanswered jobs; at least maxTasksPerJob.'),
	maxTasksPerJob: z.int().min(1).max(maxTasksPerJob).default(maxTasksPerJob)
		.describe('Maximum number of tasks in a job.'),
	maxJobBytes: z.int().min(1).max(67_108_864).default(4_194_304)
		.describe('Maximum total size of the task bodies of a job, in bytes.'),
	retryBudget: z.number().min(0).max(1).default(0.1)
		.describe('Maximum ratio of retries to first attempts.'),
	successRate: z.number().min(0).max(1).default(0.999)
		.describe('Success rate to maintain for admitted jobs.'),
};

function createKinds<Kind extends z.ZodType>(kind: Kind) {
	return z.record(name, kind)
		.refine(kinds => Object.keys(kinds).length > 0, 'must name at least one kind')
		.refine(kinds => Object.keys(kinds).length <= maxKinds, `must name at most ${maxKinds} kinds`)
		.describe('Kinds of work by name; a job of any other kind is refused.');
}

/** Schema of a contract that an operator applies. */
export const contractSchema = z.strictObject({...limitShape, kinds: createKinds(z.strictObject(kindShape))})
	.superRefine((contract, context) => {
		for (const key of ['burst', 'maxTasksInFlight'] as const) {
			if (contract[key] < contract.maxTasksPerJob) {
				context.addIssue({
					code: 'custom',
					path: [key],
					message: `must be at least maxTasksPerJob, which is ${contract.maxTasksPerJob}, or a job of that many tasks could never be admitted`,
				});
			}
		}
	});

const storedContract = z.looseObject({...limitShape, kinds: createKinds(z.looseObject(kindShape))});

const changeSchema = z.looseObject({
	changeId: z.string().min(1).max(64).describe('Random id by which a command recognises its own write.'),
	revision: z.int().min(1).describe('Revision of the document that the change created.'),
	customer: name.describe('Customer whose contract was changed.'),
	action: z.enum(['apply', 'remove', 'restore']).describe('Type of the change.'),
	operator: z.string().min(1).max(128).describe('Who made the change.'),
	changedAt: z.number().describe('Time of the change by the operator\'s clock, in ms since the epoch.'),
	contract: storedContract.optional().describe('The contract after the change; absent when removed.'),
});

/** Schema of the document that holds all contracts. */
export const documentSchema = z.looseObject({
	revision: z.int().min(0).default(0)
		.describe('Incremented by each accepted change; 0 for the empty document.'),
	contracts: z.record(name, storedContract).default({})
		.describe('Contracts by customer.'),
	history: z.array(changeSchema).default([])
		.describe('The latest changes, newest last.'),
});
