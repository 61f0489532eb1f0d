/**
 * Compiles every function of a bundle and writes its code cache: `node OPTIONS write-code-cache.cjs BUNDLE CACHE`.
 */
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const process = require('node:process');
const v8 = require('node:v8');
const {Script} = require('node:vm');

const [bundle, cache] = process.argv.slice(2);
v8.setFlagsFromString('--no-lazy');
const script = new Script(wrap(readFileSync(bundle, 'latin1')), {filename: bundle});
// The cache is valid only with the V8 flags that it records; the processes run with lazy compilation.
v8.setFlagsFromString('--lazy');
writeFileSync(cache, script.createCachedData());
