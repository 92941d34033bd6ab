// Sets the global class `Headers`. That of Node.js loads its whole fetch, which took 27 ms of each start.
import { Headers } from "undici/lib/web/fetch/headers";

globalThis.Headers = Headers;
