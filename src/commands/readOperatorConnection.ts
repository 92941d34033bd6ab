/*
 * Reads the addresses and credentials for calls to the control members. Options take precedence over environment
 * variables.
 */
import { readFile } from "node:fs/promises";
import { getErrorMessage } from "../errors";
import { isLoopbackAddress } from "../settings";
import { Environment, isHttpAddress } from "../settings";
import { OperatorConnectionOptions } from "./OperatorConnectionOptions";
import { OperatorConnectionOutcome } from "./OperatorConnectionOutcome";

const addressVariable = "BASILWING_OPERATOR_ADDRESS";
const tokenVariable = "BASILWING_OPERATOR_TOKEN";

/**
 * Reads the addresses, the token and the certificate authorities.
 * @param options - The options of the command line.
 * @param environment - The environment variables.
 */
export async function readOperatorConnection(
    options: OperatorConnectionOptions,
    environment: Environment,
): Promise<OperatorConnectionOutcome> {
    const addresses = getAddresses(options, environment);
    const problem = getAddressProblem(addresses, options.allowsPlain);
    if (problem !== undefined) {
        return { kind: "invalid", problem };
    }
    try {
        const token = options.tokenFile === undefined
            ? environment[tokenVariable]
            : await readFile(options.tokenFile, "utf8");
        if (token === undefined || token.trim() === "") {
            return { kind: "invalid", problem: `no token: give --token-file or set ${tokenVariable}` };
        }
        const { authorityFile } = options;
        const authorities = authorityFile === undefined ? undefined : await readFile(authorityFile, "utf8");
        return { kind: "read", connection: { addresses, token: token.trim(), authorities } };
    }
    catch (error) {
        return { kind: "invalid", problem: getErrorMessage(error) };
    }
}

/** Gets the addresses as URLs; an address without a scheme becomes an `http:` URL. */
function getAddresses(options: OperatorConnectionOptions, environment: Environment): readonly string[] {
    const texts = options.addresses.length > 0 ? options.addresses : [environment[addressVariable] ?? ""];
    const addresses = texts.flatMap(text => text.split(",")).map(text => text.trim()).filter(text => text !== "");
    return addresses.map(address => address.includes("://") ? address : `http://${address}`);
}

function getAddressProblem(addresses: readonly string[], allowsPlain: boolean): string | undefined {
    if (addresses.length === 0) {
        return `no address: give --address or set ${addressVariable}`;
    }
    const invalidAddress = addresses.find(address => !isHttpAddress(address));
    if (invalidAddress !== undefined) {
        return `${invalidAddress} is not an address such as 127.0.0.1:7443 or https://10.0.0.1:7443`;
    }
    const plainAddress = addresses.find(address => {
        return address.startsWith("http:") && !isLoopbackAddress(new URL(address).hostname);
    });
    if (plainAddress !== undefined && !allowsPlain) {
        return `${plainAddress} would send the token over plain HTTP; use https, or give --allow-plain`;
    }
    return undefined;
}
