/**
 * Counts the outcomes of jobs per customer: totals since the start, and the success rate over a sliding window.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {CustomerReport} from '../../ports/control.ts';
import type {Histogram, Metric} from '../../ports/metrics.ts';

/** Length of a bucket of the sliding window. */
const bucketMs = 10_000;

/** Number of buckets in the sliding window of the success rate. */
const windowBuckets = 30;

const msPerSecond = 1000;

type Bucket = {
	startedAt: Milliseconds;
	complete: number;
	ended: number;
};

type CustomerOutcomes = {
	/** Number of jobs by `complete`, `OUTCOME REASON` or `refused LIMIT`. */
	readonly totals: Map<string, number>;
	readonly buckets: Bucket[];
};

/** Counts outcomes at one entry. */
export class OutcomeCounts {
	readonly #customers = new Map<string, CustomerOutcomes>();

	/** @param responses - Histogram of response times, in seconds. */
	constructor(private readonly responses: Histogram) {}

	/**
	 * Records the answer to an admitted job.
	 *
	 * @param customer - The customer.
	 * @param outcome - `complete`, or another outcome, a space and the reason.
	 * @param responseTime - Time from the request to the answer, in ms.
	 * @param now - Current time.
	 */
	recordEnd(customer: string, outcome: string, responseTime: Milliseconds, now: Milliseconds): void {
		const outcomes = this.#getOutcomes(customer);
		outcomes.totals.set(outcome, (outcomes.totals.get(outcome) ?? 0) + 1);
		const bucket = this.#getCurrentBucket(outcomes, now);
		bucket.ended++;
		bucket.complete += outcome === 'complete' ? 1 : 0;
		this.responses.observeValue({customer}, responseTime / msPerSecond);
	}

	/**
	 * Records that a job was refused by its contract; it does not count in the success rate.
	 *
	 * @param customer - The customer.
	 * @param reason - The limit of the contract that it exceeds.
	 */
	recordRefusal(customer: string, reason: string): void {
		const {totals} = this.#getOutcomes(customer);
		const key = `refused ${reason}`;
		totals.set(key, (totals.get(key) ?? 0) + 1);
	}

	/**
	 * Lists the outcomes per customer.
	 *
	 * @param now - Current time.
	 * @returns One report per customer with jobs at this entry.
	 */
	listReports(now: Milliseconds): CustomerReport[] {
		return [...this.#customers].map(([customer, {totals, buckets}]) => {
			const recent = buckets.filter(({startedAt}) => now - startedAt < bucketMs * windowBuckets);
			return {
				customer,
				ended: recent.reduce((sum, {ended}) => sum + ended, 0),
				complete: recent.reduce((sum, {complete}) => sum + complete, 0),
				totals: Object.fromEntries(totals),
			};
		});
	}

	/**
	 * Lists the metrics of outcomes.
	 *
	 * @param now - Current time.
	 * @returns Totals and success rates.
	 */
	listMetrics(now: Milliseconds): Metric[] {
		const reports = this.listReports(now);
		const rates = reports.filter(({ended}) => ended > 0);
		return [
			{
				name: 'medlardale_jobs_total',
				help: 'Jobs by customer and outcome',
				type: 'counter',
				samples: reports.flatMap(({customer, totals}) => Object.entries(totals).map(([outcome, value]) => ({labels: {customer, outcome}, value}))),
			},
			{
				name: 'medlardale_success_ratio',
				help: 'Share of admitted jobs that completed, over five minutes',
				type: 'gauge',
				samples: rates.map(({customer, complete, ended}) => ({labels: {customer}, value: complete / ended})),
			},
		];
	}

	#getOutcomes(customer: string): CustomerOutcomes {
		let outcomes = this.#customers.get(customer);
		if (outcomes === undefined) {
			outcomes = {totals: new Map(), buckets: []};
			this.#customers.set(customer, outcomes);
		}

		return outcomes;
	}

	#getCurrentBucket({buckets}: CustomerOutcomes, now: Milliseconds): Bucket {
		const startedAt = Math.floor(now / bucketMs) * bucketMs;
		let bucket = buckets.at(-1);
		if (bucket?.startedAt !== startedAt) {
			bucket = {startedAt, complete: 0, ended: 0};
			buckets.push(bucket);
			buckets.splice(0, buckets.length - windowBuckets);
		}

		return bucket;
	}
}
