// Compiles the JSON schemas of the platform's programs to code, as compiling them took 20 ms of each start.
import Ajv from "ajv";
import standaloneCode from "ajv/dist/standalone/index.js";
import { build } from "esbuild";
import { createRequire } from "node:module";
import { resolve } from "node:path";

/** Records the schemas in place of the validators. */
const recorder = `
    export function createValidator(schema) {
        globalThis.recordedSchemas.push(schema);
        return () => undefined;
    }`;

/**
 * Compiles all schemas for which the programs create validators.
 * @param options - The options with which the programs compile them.
 * @returns The source of a CommonJS module; its map `validators` has the functions by the JSON text of their schemas.
 */
export async function compileSchemas(options) {
    const outfile = resolve("target", "schemas.cjs");
    await build({
        bundle: true,
        platform: "node",
        format: "cjs",
        outfile,
        stdin: {
            contents: ["engines", "fleet", "operators", "settings"].map(name => `import "./platform/${name}";`).join(
                "\n",
            ),
            resolveDir: resolve("."),
        },
        external: ["dtrace-provider"],
        plugins: [{
            name: "record",
            setup: ({ onLoad }) =>
                onLoad({ filter: /createValidator\.ts$/ }, () => ({ contents: recorder, loader: "js" })),
        }],
        logLevel: "warning",
    });
    globalThis.recordedSchemas = [];
    createRequire(outfile)(outfile);
    const schemas = globalThis.recordedSchemas;
    const ajv = new Ajv.default({ ...options, code: { source: true } });
    schemas.forEach((schema, index) => ajv.addSchema(schema, `schema${index}`));
    const code = standaloneCode.default(
        ajv,
        Object.fromEntries(schemas.map((...[, index]) => [`schema${index}`, `schema${index}`])),
    );
    const entries = schemas.map((schema, index) =>
        `[${JSON.stringify(JSON.stringify(schema))}, exports.schema${index}]`
    );
    return `${code}\nexports.validators = new Map([${entries.join(",\n")}]);`;
}
