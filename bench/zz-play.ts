import process from 'node:process';
import {EmulatedFleet} from './emulator/fleet.ts';
import {noFaults} from './emulator/types.ts';
const base: any = {deadlineMs: 5000, entries: 2, workers: Array.from({length: 3}, () => ({cpu: 10_000, slowness: 1})), kinds: [{name: 'usual', value: 1, priority: 0, perSecond: 5, taskCount: {mean: 2.5, sigma: 0.5, max: 4}, runMs: {mean: 900, sigma: 0.6, max: 3500}, cpu: {mean: 3000, sigma: 0, max: 3000}, estimateSigma: 0.4, slackFactor: 10, targetMs: 1000}], bursts: [], outages: [], losses: [], slowdowns: [], faults: noFaults};
const [from, count, over, faults, task] = process.argv.slice(2);
const scenario = {...base, ...JSON.parse(over || '{}'), faults: {...noFaults, cancels: 0.05, ...JSON.parse(faults || '{"callerCutMs":1000}')}};
if (task) {
  const r = new EmulatedFleet(Number(from), scenario, task).run(20_000);
  console.log(r.trace.filter((l: string) => !l.includes('heartbeat')).join('\n'));
  process.exit();
}
let broken = 0; const sum: any = {}; let submitted = 0, un = 0;
for (let seed = Number(from); seed < Number(from) + Number(count); seed++) {
  const r = new EmulatedFleet(seed, scenario).run(20_000);
  submitted += r.submitted; un += r.unanswered;
  for (const [k, v] of Object.entries(r.answers)) sum[k] = (sum[k] ?? 0) + v;
  if (r.violations.length || r.untrueAnswers.length) { broken++; console.log(seed, r.violations.length, r.violations[0], r.untrueAnswers[0] ?? ''); }
}
console.log('broken', broken, 'of', count, 'submitted', submitted, 'unanswered', un, JSON.stringify(sum));
