/**
 * Process of the load generator: runs the jobs that it is sent, answers with their records, and ends.
 */
import process from 'node:process';
import {runJobsHere} from './generator.ts';

type Work = {
	readonly jobs: Parameters<typeof runJobsHere>[0];
	readonly options: Parameters<typeof runJobsHere>[1];
};

async function handleWork({jobs, options}: Work): Promise<void> {
	const records = await runJobsHere(jobs, options);
	process.send!(records, () => {
		process.disconnect();
	});
}

process.once('message', (work: Work) => {
	void handleWork(work);
});
