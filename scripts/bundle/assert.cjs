// Loads the module `assert` when an assertion fails, as it opens the standard error stream, which took 10 ms of each start.
"use strict";

function assert(value, message = "assertion failed") {
    if (!value) {
        require("node:assert")(value, message);
    }
}

const names = ["AssertionError", "deepStrictEqual", "equal", "fail", "ifError", "notEqual", "notStrictEqual", "ok", "strictEqual"];
for (const name of names) {
    Object.defineProperty(assert, name, { enumerable: true, get: () => require("node:assert")[name] });
}

module.exports = assert;
