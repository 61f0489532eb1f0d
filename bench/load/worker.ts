/**
 * Child process of the load generator: receives jobs from its parent, runs them, sends their records back and exits.
 */
import process from 'node:process';
import {runJobsInThisProcess} from './generator.ts';

type Work = {
	readonly jobs: Parameters<typeof runJobsInThisProcess>[0];
	readonly options: Parameters<typeof runJobsInThisProcess>[1];
};

async function runWork({jobs, options}: Work): Promise<void> {
	const records = await runJobsInThisProcess(jobs, options);
	process.send!(records, () => {
		process.disconnect();
	});
}

process.once('message', (work: Work) => {
	void runWork(work);
});
