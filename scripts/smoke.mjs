/** Runs the built binary once and checks what it prints. */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const {version} = JSON.parse(readFileSync('package.json', 'utf8'));
const output = execFileSync('dist/medlardale', ['--version'], {encoding: 'utf8'});
assert.match(output, new RegExp(version.replaceAll('.', String.raw`\.`)));
