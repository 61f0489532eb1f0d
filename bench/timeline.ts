/**
 * Measures the cost of recording an event in the timeline: ns per record and bytes per event.
 * Run with `--expose-gc`, so that garbage is collected before memory is measured.
 */
import process from 'node:process';
import {createSystemClock} from '../src/adapters/system/clock.ts';
import {createTimeline} from '../src/core/timeline/logic.ts';

const capacity = 10_000;
const records = 2_000_000;
const nanosecondsPerMs = 1_000_000;

function getHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

function measureRecording(): void {
	const before = getHeapBytes();
	const timeline = createTimeline({node: 'agent-1', capacity, maxDrift: 60_000}, createSystemClock());
	const start = performance.now();
	for (let index = 0; index < records; index++) {
		timeline.record({
			type: 'start', job: 'job', customer: 'customer', kind: 'kind', task: index,
		});
	}

	const nanoseconds = (performance.now() - start) * nanosecondsPerMs / records;
	const bytes = (getHeapBytes() - before) / capacity;
	const {events} = timeline.listEvents({limit: 1});
	process.stdout.write(JSON.stringify({nanosecondsPerRecord: Math.round(nanoseconds), bytesPerEvent: Math.round(bytes), lastTask: events[0]?.task}) + '\n');
}

measureRecording();
