/* Run a Python interpreter that imports all modules from this executable.
 *
 * The build appends a zip archive with the modules to the executable. /proc/self/exe is
 * the only entry of sys.path. It still refers to the running file after an upgrade has
 * replaced that file on disk.
 */
#define PY_SSIZE_T_CLEAN
#include <Python.h>
#include <dlfcn.h>

static PyObject *load_library(PyObject *self, PyObject *args)
{
    const char *path;
    if (!PyArg_ParseTuple(args, "s", &path))
        return NULL;
    if (dlopen(path, RTLD_NOW | RTLD_LOCAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef methods[] = {
    {"load_library", load_library, METH_VARARGS, "Load the shared library at a path."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef module = {
    PyModuleDef_HEAD_INIT, "_sesameport_launcher", NULL, -1, methods,
};

static PyObject *init_module(void) { return PyModule_Create(&module); }

static void exit_on_error(PyStatus status)
{
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
}

int main(int argc, char **argv)
{
    PyPreConfig preconfig;
    PyConfig config;

    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    exit_on_error(Py_PreInitialize(&preconfig));
    if (PyImport_AppendInittab("_sesameport_launcher", init_module) < 0)
        return 1;

    PyConfig_InitIsolatedConfig(&config);
    config.site_import = 0;
    config.write_bytecode = 0;
    config.install_signal_handlers = 1;
    config.parse_argv = 0;
    config.module_search_paths_set = 1;
    exit_on_error(PyWideStringList_Append(&config.module_search_paths,
                                          L"/proc/self/exe"));
    /* If these are not set, the interpreter searches the file system for its home. */
    exit_on_error(PyConfig_SetString(&config, &config.prefix, L"/proc/self/exe"));
    exit_on_error(PyConfig_SetString(&config, &config.exec_prefix, L"/proc/self/exe"));
    exit_on_error(PyConfig_SetString(&config, &config.base_prefix, L"/proc/self/exe"));
    exit_on_error(PyConfig_SetString(&config, &config.base_exec_prefix,
                                     L"/proc/self/exe"));
    exit_on_error(PyConfig_SetString(&config, &config.executable, L"/proc/self/exe"));
    exit_on_error(PyConfig_SetString(&config, &config.run_command,
                                     L"import sesameport_start; sesameport_start.run()"));
    exit_on_error(PyConfig_SetBytesArgv(&config, argc, argv));
    exit_on_error(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);
    return Py_RunMain();
}
