/**
 * Starts the bundle of the platform's processes from the code cache of the role, so that it is not compiled at each start.
 */
'use strict';
const {existsSync, readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

// Without a handler, the signal of changed settings ends a process that is still starting.
process.on('SIGHUP', () => {});

const filename = path.join(__dirname, 'bundle.cjs');
const role = process.argv[2];
const cacheFile = path.join(__dirname, `${role}.cache`);
// The bundle is ASCII; decoded as Latin-1, it takes one byte per character in memory.
const script = new Script(wrap(readFileSync(filename, 'latin1')), {
	filename, cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
if (script.cachedDataRejected !== false) {
	process.stderr.write('medlardale: the code cache is missing or was rejected: it was written by another version of Node.js or with other options; the start takes longer\n');
}

script.runInThisContext().call(exports, exports, require, module, filename, __dirname);
