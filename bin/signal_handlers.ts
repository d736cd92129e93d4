/**
 * Installs handlers for `SIGHUP`, which requests a reload of the settings, and `SIGPIPE`, because the default action of
 * these signals would end the process. Imported before any other module.
 *
 * @module
 */
process.on("SIGHUP", () => undefined);
process.on("SIGPIPE", () => undefined);
