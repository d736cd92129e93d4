// Stand-in for the platform's store: objects by kind and name, one revision counter, paged lists and watches. All
// answers are linearizable, and history is never discarded.
import { createServer } from "node:http";

const PAGE_ITEMS = 500;

/** Starts a store on a free loopback port. */
export async function startStore() {
    const kinds = new Map();
    const changes = [];
    const waiting = new Set();
    let revision = 10;

    const listKind = kind => kinds.get(kind) ?? kinds.set(kind, new Map()).get(kind);
    const publish = (kind, object, deleted) => {
        changes.push({ kind, object: structuredClone(object), deleted, revision });
        [...waiting].forEach(wake => wake());
    };
    /** Writes an object as an operator, a worker or the system does. */
    const put = (kind, name, change) => {
        const objects = listKind(kind);
        const former = objects.get(name);
        const next = {
            metadata: {
                name,
                revision: revision + 1,
                created: former?.metadata.created ?? revision + 1,
                finalizers: [],
                deleting: false,
            },
            spec: change.spec ?? former?.spec ?? null,
            status: change.status ?? former?.status ?? null,
        };
        const hasChanged = former === undefined || JSON.stringify([former.spec, former.status])
            !== JSON.stringify([next.spec, next.status]);
        if (hasChanged) {
            revision += 1;
            objects.set(name, next);
            publish(kind, next, false);
        }
        return objects.get(name);
    };
    const remove = (kind, name) => {
        const former = listKind(kind).get(name);
        if (former !== undefined) {
            revision += 1;
            listKind(kind).delete(name);
            publish(kind, { ...former, metadata: { ...former.metadata, revision } }, true);
        }
        return former;
    };

    const answer = (response, status, value) => {
        const body = JSON.stringify(value);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
        response.end(body);
    };
    const answerWatch = (response, kind, query) => {
        const from = Number(query.get("watch"));
        const listEvents = () => changes.filter(change => change.kind === kind && change.revision > from);
        const finish = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            const events = listEvents().map(({ object, deleted }) => ({ object, deleted }));
            answer(response, 200, { events, as_of: revision });
        };
        const wake = () => {
            if (listEvents().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Math.min(30_000, Number(query.get("wait_ms") ?? 0)));
        waiting.add(wake);
        response.on("close", () => {
            clearTimeout(timer);
            waiting.delete(wake);
        });
        wake();
    };
    const answerList = (response, kind, query) => {
        const after = query.get("after") ?? "";
        const all = [...listKind(kind).values()].filter(({ metadata }) => metadata.name > after)
            .sort((first, second) => first.metadata.name < second.metadata.name ? -1 : 1);
        const items = all.slice(0, PAGE_ITEMS);
        answer(response, 200, { items, more: all.length > items.length, as_of: revision });
    };
    const answerWrite = (response, { method, kind, name, part, body }) => {
        const submitted = body === "" ? {} : JSON.parse(body);
        const target = name ?? submitted.metadata?.name;
        const current = listKind(kind).get(target);
        const expected = submitted.metadata?.revision;
        if (method === "POST" ? current !== undefined : expected !== undefined && current !== undefined
            && expected !== current.metadata.revision) {
            answer(response, 409, current);
        }
        else if (method !== "POST" && current === undefined) {
            answer(response, 404, {});
        }
        else if (method === "DELETE") {
            answer(response, 200, remove(kind, target));
        }
        else {
            answer(response, 200, put(kind, target, part === "status" ? { status: submitted.status } : {
                spec: submitted.spec,
            }));
        }
    };

    const server = createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://store");
        const [, , kind = "", name, part] = url.pathname.split("/").map(decodeURIComponent);
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const body = Buffer.concat(chunks).toString();
            const { method } = request;
            if (method === "GET" && url.searchParams.has("watch")) {
                answerWatch(response, kind, url.searchParams);
            }
            else if (method === "GET" && name === undefined) {
                answerList(response, kind, url.searchParams);
            }
            else if (method === "GET") {
                const object = listKind(kind).get(name);
                answer(response, object === undefined ? 404 : 200, object ?? {});
            }
            else {
                answerWrite(response, { method, kind, name, part, body });
            }
        });
    });
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        put: (kind, name, spec) => put(kind, name, { spec }),
        remove,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
