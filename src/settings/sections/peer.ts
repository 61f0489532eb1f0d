/**
 * Settings of the streams between processes.
 */
import * as z from 'zod';

/** Schema of the section `peer`; every key has a default. */
export const peerSchema = z.strictObject({
	heartbeatMs: z.int().min(50).default(1000)
		.describe('Time between heartbeats on a stream, in ms.'),
	idleHeartbeatMs: z.int().min(50).default(10_000)
		.describe('Time between heartbeats on a stream that has nothing to confirm, in ms.'),
	idleCloseMs: z.int().min(1000).default(60_000)
		.describe('Time without use, in ms, after which a process closes a stream that it opened and no longer needs.'),
	heartbeatTimeoutMs: z.int().min(100).default(3000)
		.describe('Silence on a stream, in ms, after which it is closed.'),
	reconnectMs: z.int().min(10).default(100)
		.describe('Shortest time before a closed stream is opened again, in ms; doubles up to 20 times this.'),
	maxFrameBytes: z.int().min(65_536).default(16_777_216)
		.describe('Greatest length of a frame, in bytes; a longer one closes the stream.'),
	entryReportMs: z.int().min(10).default(400)
		.describe('Shortest time between two load reports of an agent to one entry, in ms; answers carry reports too.'),
	fullReportMs: z.int().min(10).default(100)
		.describe('Shortest time between two load reports of an agent to one entry when its last slot is taken or one becomes free, in ms.'),
	agentReportMs: z.int().min(10).default(2000)
		.describe('Shortest time between two load reports of an agent to another agent, in ms; results carry reports too.'),
}).prefault({});
