/**
 * Runs the product's own HTTP interface in a process of its own, with a job service that answers each job at once.
 * Takes further options of the interface as JSON, and writes its port to standard output once it listens.
 */
import process from 'node:process';
import {startHttpInterface} from '../../src/adapters/http/server.ts';
import {createLog, setLogOptions} from '../../src/adapters/log/log.ts';
import type {Contract} from '../../src/core/contracts/types.ts';
import {settingsSchema} from '../../src/settings/schema.ts';
import {createFakeJobs} from '../http/fake-jobs.ts';

const contract: Contract = {
	customer: 'scarita', tokenDigests: [], weight: 1, rate: 1, burst: 1, maxJobsInFlight: 1, maxTasksInFlight: 1, maxTasksPerJob: 1, maxJobBytes: 1, retryBudget: 0, successRate: 1, kinds: {},
};

/** Makes the metrics 25 KB long, which is the order of those of an entry. */
const metricsLines = 5000;

setLogOptions({level: 'silent', format: 'text', processName: 'http-interface'});
const {limits} = settingsSchema.parse({name: 'entry-1'});
void startHttpInterface({
	jobs: createFakeJobs(),
	contracts: {
		isReady: () => true,
		getDocument: () => ({revision: 1, contracts: {}, history: []}),
		findContract: () => undefined,
		findContractByToken: token => token === 'token-1' ? contract : undefined,
		addListener: () => ({[Symbol.dispose]: () => undefined}),
	},
	limits,
	log: createLog('http'),
	host: '127.0.0.1',
	port: 0,
	renderMetrics: () => 'up 1\n'.repeat(metricsLines),
	...JSON.parse(process.argv[2]) as Record<string, unknown>,
}).then(({port}) => {
	process.stdout.write(`${port}\n`);
});
