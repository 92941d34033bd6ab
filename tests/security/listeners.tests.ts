import { expect } from "chai";
import { X509Certificate } from "node:crypto";
import { once } from "node:events";
import { AddressInfo } from "node:net";
import { connect } from "node:tls";
import { createHttpServer, getCertificateIdentity, getListenerProblem } from "../../src/security";
import { isLoopbackAddress } from "../../src/settings";
import { Role } from "../../src/settings";
import { createTestAuthority } from "./createTestAuthority";
import { createTestIdentity } from "./createTestIdentity";

const authority = createTestAuthority("trusted");

describe("isLoopbackAddress", () => {
    function doTest(address: string, expected: boolean): void {
        expect(isLoopbackAddress(address)).to.equal(expected);
    }

    it("accepts all of 127.0.0.0/8", () => doTest("127.8.9.10", true));
    it("accepts ::1", () => doTest("::1", true));
    it("accepts ::1 in brackets", () => doTest("[::1]", true));
    it("refuses an unspecified address", () => doTest("0.0.0.0", false));
    it("refuses a mapped address that is not loopback", () => doTest("::ffff:192.0.2.1", false));
    it("refuses a host name", () => doTest("localhost", false));
});

describe("getListenerProblem", () => {
    function doTest(address: string, allowPlain: boolean | undefined, hasIdentity: boolean, expected: boolean): void {
        const problem = getListenerProblem({ address, port: 0, allowPlain }, hasIdentity);
        expect(problem !== undefined).to.equal(expected);
    }

    it("allows a listener without TLS on loopback", () => doTest("127.0.0.1", undefined, false, false));
    it("refuses a listener without TLS on another address", () => doTest("192.0.2.1", undefined, false, true));
    it("refuses a listener without TLS on all addresses", () => doTest("0.0.0.0", false, false, true));
    it("allows a listener without TLS on another address if allowPlain is set", () =>
        doTest("192.0.2.1", true, false, false));
    it("allows a listener with TLS on all addresses", () => doTest("0.0.0.0", undefined, true, false));
});

describe("getCertificateIdentity", () => {
    function doTest(names: readonly string[], expected: { instanceId: string; roles: Role[]; } | undefined): void {
        const certificate = new X509Certificate(authority.issue({ names }).certificate);
        expect(getCertificateIdentity(certificate)).to.deep.equal(expected);
    }

    it("reads one role", () => doTest(["basilwing://entry/a-1"], { instanceId: "a-1", roles: [Role.Entry] }));
    it("reads several roles of one instance", () =>
        doTest(["basilwing://entry/a", "https://other", "basilwing://control/a"], {
            instanceId: "a",
            roles: [Role.Entry, Role.Control],
        }));
    it("refuses several instances", () => doTest(["basilwing://entry/a", "basilwing://entry/b"], undefined));
    it("refuses an unknown role", () => doTest(["basilwing://root/a"], undefined));
    it("refuses a name that is part of another name", () => doTest(["x, URI:basilwing://control/a"], undefined));
    it("refuses a malformed id", () => doTest(["basilwing://entry/a/b"], undefined));
});

describe("createHttpServer", () => {
    it("presents new certificates without a restart", async () => {
        const first = { ...authority.issue({ names: [] }), authorities: undefined };
        const second = { ...authority.issue({ names: [] }), authorities: undefined };
        const identity = createTestIdentity(first);
        const server = createHttpServer(identity, {}, (request, response) => void response.end(request.url));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        expect(await getSerialNumber(port)).to.equal(new X509Certificate(first.certificate).serialNumber);
        identity.setMaterial(second);
        expect(await getSerialNumber(port)).to.equal(new X509Certificate(second.certificate).serialNumber);
        server.close();
        await once(server, "close");
    });

    it("requires a client certificate if it has authorities", async () => {
        const identity = createTestIdentity(authority.issue({ names: [] }));
        const server = createHttpServer(identity, {}, (request, response) => void response.end(request.url));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const socket = connect({ port, host: "127.0.0.1", ca: authority.certificate, checkServerIdentity });
        socket.on("error", () => undefined);
        socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let received = "";
        socket.on("data", data => received += data.toString());
        await new Promise(resolve => socket.once("close", resolve));
        expect(received).to.equal("");
        server.close();
    });

    /** Connects, and gets the serial number of the certificate that the server presents. */
    async function getSerialNumber(port: number): Promise<string> {
        const socket = connect({ port, host: "127.0.0.1", ca: authority.certificate, checkServerIdentity });
        await once(socket, "secureConnect");
        const { serialNumber } = socket.getPeerCertificate();
        socket.destroy();
        return serialNumber;
    }

    function checkServerIdentity(): undefined {
        return undefined;
    }
});
