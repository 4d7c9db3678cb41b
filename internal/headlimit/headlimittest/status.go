package headlimittest

// InvalidStatuses are the texts behind the version of status lines that state no status of a response.
var InvalidStatuses = []string{
	" 000 None", " 007 None", " 099 None", " 600 None", " 999 None", " 0", " 20 OK", " 1000 OK", " 2e2 OK", " 0200 OK",
	" +20 OK", " -01 OK", " -00 OK", " 101 Switching Protocols", " 104 None", " 199 None", "  200 OK", " \t200 OK", " 200\tOK",
	" ", "", " OK", " 200OK", " 2 00", "\t200 OK",
}
