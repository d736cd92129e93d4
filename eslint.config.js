import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const VERBS = [
    "abort", "add", "adopt", "announce", "answer", "append", "apply", "ask", "assign", "break", "build", "call", "cancel", "check", "choose", "claim",
    "classify", "close", "collect", "compare", "compute", "connect", "count", "create", "decide", "decode", "dequeue",
    "describe", "diff", "drain", "drop", "dump", "encode", "enqueue", "estimate", "expire", "fail", "fetch", "filter",
    "find", "finish", "format", "get", "grant", "handle", "hash", "hold", "is", "has", "keep", "list", "load", "log", "mark", "match",
    "measure", "merge", "move", "observe", "open", "order", "parse", "pause", "pick", "plan", "poll", "print", "publish", "push", "put", "queue", "read", "record",
    "refuse", "relay", "release", "remove", "reload", "replay", "report", "request", "reserve", "resolve", "restart", "resume", "reuse", "run", "schedule", "send", "serve", "set",
    "settle", "simulate", "split", "start", "step", "stop", "take", "update", "validate", "wait", "watch", "write",
];
const verbPattern = `/^(${VERBS.join("|")})([A-Z0-9]|$)/`;

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { jsdoc },
        rules: {
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
                {
                    selector: `FunctionDeclaration > Identifier.id[name!=${verbPattern}]`,
                    message: "Begin a function's name with a verb listed in docs/NAMES.md.",
                },
                {
                    selector: `MethodDefinition[kind="method"] > Identifier.key[name!=${verbPattern}]`,
                    message: "Begin a method's name with a verb listed in docs/NAMES.md.",
                },
                { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
            ],
            "no-restricted-properties": ["error", {
                object: "AbortSignal",
                property: "any",
                message: "Use LinkedSignal: a garbage collection may remove a timeout that only AbortSignal.any refers to.",
            }],
            "jsdoc/require-jsdoc": ["error", {
                publicOnly: true,
                require: {
                    ClassDeclaration: true,
                    FunctionDeclaration: true,
                    MethodDefinition: false,
                },
                contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration", "ExportNamedDeclaration > VariableDeclaration"],
            }],
            "jsdoc/require-file-overview": "off",
        },
    },
    {
        files: ["core/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", { patterns: ["node:*", "cbor-x", "p-queue", "tslog", "prom-client", "commander"] }],
            "no-restricted-globals": ["error", "process", "setTimeout", "setInterval", "performance", "fetch"],
            "no-restricted-properties": [
                "error",
                { object: "Math", property: "random" },
                { object: "Date", property: "now" },
            ],
        },
    },
);
