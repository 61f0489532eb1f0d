/**
 * Settings of the streams between processes.
 */
import * as z from 'zod';

/** Schema of the section `peer`; every key has a default. */
export const peerSchema = z.strictObject({
	heartbeatMs: z.int().min(50).default(1000)
		.describe('Interval between heartbeats on a stream, in ms.'),
	idleHeartbeatMs: z.int().min(50).default(10_000)
		.describe('Interval between heartbeats on a stream with nothing to acknowledge, in ms.'),
	idleCloseMs: z.int().min(1000).default(60_000)
		.describe('Idle time, in ms, after which a process closes a stream that it opened and no longer needs.'),
	heartbeatTimeoutMs: z.int().min(100).default(3000)
		.describe('Time, in ms, without received data after which a stream is closed.'),
	reconnectMs: z.int().min(10).default(100)
		.describe('Minimum time, in ms, before a closed stream is reopened; doubles with each attempt up to 20 times this value.'),
	maxFrameBytes: z.int().min(65_536).default(16_777_216)
		.describe('Maximum length of a frame, in bytes; a longer one closes the stream.'),
	entryReportMs: z.int().min(10).default(400)
		.describe('Minimum interval, in ms, between two load reports of an agent to one entry; answers carry reports too.'),
	fullReportMs: z.int().min(10).default(100)
		.describe('Minimum interval, in ms, between two load reports of an agent to one entry when its last slot becomes occupied or one becomes free.'),
	agentReportMs: z.int().min(10).default(2000)
		.describe('Minimum interval, in ms, between two load reports of an agent to another agent; results carry reports too.'),
}).prefault({});
