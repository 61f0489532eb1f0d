/**
 * Starts the bundle of the platform's processes from its code cache, so that it is not compiled at each start.
 */
'use strict';
const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const filename = path.join(__dirname, 'bundle.cjs');
// The bundle is ASCII; decoded as Latin-1, it takes one byte per character in memory.
const script = new Script(wrap(readFileSync(filename, 'latin1')), {
	filename, cachedData: readFileSync(path.join(__dirname, 'bundle.cache')),
});
if (script.cachedDataRejected) {
	process.stderr.write('medlardale: the code cache was rejected: it was written by another version of Node.js or with other options; the start takes longer\n');
}

script.runInThisContext().call(exports, exports, require, module, filename, __dirname);
