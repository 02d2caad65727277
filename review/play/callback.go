package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
)

// callBack passes the words of a command to the case that has given it to the program under test, and returns the exit code.
func callBack(addr string, words []string) int {
	response, err := http.PostForm("http://"+addr+"/", url.Values{"word": words})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer response.Body.Close()
	io.Copy(os.Stdout, response.Body)
	if response.StatusCode != http.StatusOK {
		return 1
	}
	return 0
}
