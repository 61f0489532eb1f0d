/**
 * Runs an agent of the product in a process of its own, without peers and without a target. Takes further settings as JSON, and
 * writes the port for streams, operators, metrics and its target to standard output once it listens.
 */
import process from 'node:process';
import {setLogOptions} from '../../src/adapters/log/log.ts';
import {createSystemClock} from '../../src/adapters/system/clock.ts';
import {createSystemRandom} from '../../src/adapters/system/random.ts';
import {startAgent} from '../../src/processes/agent/agent.ts';
import {settingsSchema} from '../../src/settings/schema.ts';

setLogOptions({level: 'silent', format: 'text', processName: 'agent-1'});
void startAgent({
	role: 'agent',
	settings: settingsSchema.parse({name: 'agent-1', port: 0, ...JSON.parse(process.argv[2]) as Record<string, unknown>}),
	secret: 'features',
	operatorSecret: 'operators',
	store: undefined,
	clock: createSystemClock(),
	random: createSystemRandom(),
}).then(({node}) => {
	process.stdout.write(`${node.server.port}\n`);
});
