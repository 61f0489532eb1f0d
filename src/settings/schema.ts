/**
 * Schema of the settings file: all keys with their defaults and descriptions.
 */
import {isIP} from 'node:net';
import * as z from 'zod';
import {logFormats} from '../adapters/log/log.ts';
import {logLevels} from '../ports/log.ts';
import {admissionSchema} from './sections/admission.ts';
import {contractsSchema} from './sections/contracts.ts';
import {healthSchema} from './sections/health.ts';
import {homeSchema} from './sections/home.ts';
import {keysSchema} from './sections/keys.ts';
import {limitsSchema} from './sections/limits.ts';
import {membershipSchema} from './sections/membership.ts';
import {peerSchema} from './sections/peer.ts';
import {placementSchema} from './sections/placement.ts';
import {receivingSchema} from './sections/receiving.ts';
import {schedulingSchema} from './sections/scheduling.ts';
import {targetSchema} from './sections/target.ts';
import {timelineSchema} from './sections/timeline.ts';

const nodeNamePattern = /^[a-z\d][a-z\d.-]{0,62}$/;
const addressPattern = /^(?:\[([\da-f:.]+)]|([\d.]+)):(\d{1,5})$/i;
const maxPort = 65_535;

function isAddress(text: string): boolean {
	const [, ipv6, ipv4, port] = addressPattern.exec(text) ?? [];
	return isIP(ipv6 ?? ipv4 ?? '') !== 0 && Number(port) >= 1 && Number(port) <= maxPort;
}

const address = z.string().refine(isAddress, 'must be an IP address and a port, such as 127.0.0.1:7101');

/** Schema of the settings of one process. */
export const settingsSchema = z.strictObject({
	name: z.string().regex(nodeNamePattern, 'must be 1 to 63 lower-case letters, digits, dots or hyphens')
		.describe('Name of the process, unique in the fleet.'),
	dataCentre: z.string().min(1).max(63).default('default')
		.describe('Data centre in which the process runs.'),
	host: z.string().refine(text => isIP(text) !== 0, 'must be an IP address').default('127.0.0.1')
		.describe('IP address on which the process listens and at which other processes reach it.'),
	port: z.int().min(0).max(65_535).default(7100)
		.describe('TCP port for streams and operators, and UDP port for gossip; 0 selects a free port.'),
	publicPort: z.int().min(0).max(65_535).default(8080)
		.describe('Port of the HTTP interface for callers; entries only; 0 selects a free port.'),
	peers: z.array(address).max(64).default([])
		.describe('Addresses of a few other processes through which the process joins the fleet.'),
	storeUrl: z.union([z.literal(''), z.url()]).default('')
		.describe('Address of the platform\'s key-value service; empty if there is none.'),
	secretFile: z.string().default('')
		.describe('File with the secret shared by all processes; if empty, the environment variable MEDLARDALE_SECRET is used.'),
	operatorSecretFile: z.string().default('')
		.describe('File with the secret for calls of operators; if empty, the environment variable MEDLARDALE_OPERATOR_SECRET is used.'),
	log: z.strictObject({
		level: z.enum(logLevels).default('info').describe('Minimum severity of the log lines that are written.'),
		format: z.enum(logFormats).default('text').describe('Format of log lines.'),
	}).prefault({}),
	admission: admissionSchema,
	contracts: contractsSchema,
	health: healthSchema,
	home: homeSchema,
	keys: keysSchema,
	limits: limitsSchema,
	membership: membershipSchema,
	peer: peerSchema,
	placement: placementSchema,
	receiving: receivingSchema,
	scheduling: schedulingSchema,
	target: targetSchema,
	timeline: timelineSchema,
});

/** Validated settings of one process, with all defaults. */
export type Settings = z.output<typeof settingsSchema>;
