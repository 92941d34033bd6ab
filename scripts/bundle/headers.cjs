// Sets the global class `Headers`. That of Node.js loads its whole fetch, which took 27 ms of each start.
"use strict";
globalThis.Headers = require("undici/lib/web/fetch/headers").Headers;
